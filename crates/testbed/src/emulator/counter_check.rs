//! Holds the sidecars' counters against what terminals and stand-ins saw, to the last one.
//!
//! A routed task that was called off may or may not have arrived; how many were is counted, so the arrivals
//! must lie within that many. Everything else must be equal.

use std::collections::HashMap;
use std::sync::atomic::Ordering;

use super::Emulation;
use super::process::Counted;
use crate::event_log::{LogEvent, LogRecord, RequestOutcome};

/// What the comparison found.
#[derive(Default)]
pub struct Compared {
    pub differences: Vec<String>,
    pub remarks: Vec<String>,
}

/// What the stand-ins saw.
#[derive(Default)]
struct Seen {
    taken: u64,
    answers: HashMap<RequestOutcome, u64>,
    left: u64,
    began: u64,
    arrived: u64,
    turned_away: u64,
    probed: u64,
}

fn see(record: &[LogRecord]) -> Seen {
    let mut seen = Seen::default();
    for line in record {
        match line.event {
            LogEvent::RequestAccepted { .. } => seen.taken += 1,
            LogEvent::ResponseReceived { outcome: how, .. } => {
                *seen.answers.entry(how).or_default() += 1
            }
            LogEvent::ClientDisconnected { .. } => seen.left += 1,
            LogEvent::AttemptStarted { .. } => seen.began += 1,
            LogEvent::AttemptReceived { .. } => seen.arrived += 1,
            LogEvent::AttemptRejected { .. } => seen.turned_away += 1,
            LogEvent::HealthChecked { .. } => seen.probed += 1,
            _ => {}
        }
    }
    seen
}

/// Compares the two; a life that was killed has told nothing, and then there is nothing to compare.
pub fn compare(scene: &Emulation, record: &[LogRecord], counted: &Counted) -> Compared {
    let mut found = Compared::default();
    if counted.mute > 0 {
        found.differences.push(format!(
            "{} sidecars did not tell their counters at their end",
            counted.mute
        ));
        return found;
    }
    let seen = see(record);
    if counted.killed > 0 {
        let n = counted.killed;
        found.remarks.push(format!(
            "counters not compared: {n} sidecars were killed, and theirs with them"
        ));
        return found;
    }
    let count = |name: &str| counted.sum.get(name).copied().unwrap_or(0);
    let answers = |how: RequestOutcome| seen.answers.get(&how).copied().unwrap_or(0);
    let over = count("requests_over_capacity");
    let mut equal = |what: &str, sidecars: u64, stand_ins: u64| {
        if sidecars != stand_ins {
            found.differences.push(format!(
                "{what}: sidecars {sidecars}, stand-ins {stand_ins}"
            ));
        }
    };
    equal(
        "transactions taken",
        count("requests_accepted") + over,
        seen.taken,
    );
    equal(
        "answers served",
        count("responses_served"),
        answers(RequestOutcome::Served),
    );
    equal(
        "short-on-capacity replies",
        count("responses_rejected") + over,
        answers(RequestOutcome::Rejected),
    );
    let failed = count("responses_failed") + count("responses_overdue");
    equal(
        "transactions failed",
        failed,
        answers(RequestOutcome::Failed),
    );
    let unanswered = seen.taken - seen.answers.values().sum::<u64>() - seen.left;
    equal(
        "terminals gone",
        count("clients_disconnected"),
        seen.left + unanswered,
    );
    let (swallowed, unheard) = (&scene.shared.swallowed, &scene.shared.probes_swallowed);
    let (swallowed, unheard) = (
        swallowed.load(Ordering::Relaxed),
        unheard.load(Ordering::Relaxed),
    );
    // What was called off or timed out may not have been written, or may have been turned away all the same.
    let sure = count("attempts_served") + count("attempts_error") + count("attempts_rejected");
    let open = count("attempts_cancelled") + count("attempts_timed_out") + count("attempts_reset");
    let arrived = seen.began;
    if !(sure..=sure + open).contains(&arrived) {
        let range = format!("{sure} to {}", sure + open);
        found.differences.push(format!(
            "requests arrived: sidecars {range}, stand-ins {arrived}"
        ));
    }
    let rejected = count("attempts_rejected");
    let crossed = count("attempts_cancelled") + count("attempts_timed_out");
    if !(rejected..=rejected + crossed).contains(&seen.turned_away) {
        let range = format!("{rejected} to {}", rejected + crossed);
        found.differences.push(format!(
            "turned away: sidecars {range}, stand-ins {}",
            seen.turned_away
        ));
    }
    let (sent, failed) = (count("health_checks_sent"), count("health_checks_failed"));
    // One each may have been on its way as its sidecar ended.
    let least = sent.saturating_sub(failed + scene.shared.day.sidecars.count as u64);
    if !(least..=sent).contains(&seen.probed) {
        let range = format!("{least} to {sent}");
        found.differences.push(format!(
            "probes: sidecars {range}, stand-ins {}",
            seen.probed
        ));
    }
    found.remarks.push(format!(
        "counters compared: {} transactions, {arrived} of {} routed tasks arrived ({swallowed} in silence), \
         {} probes ({unheard} in silence)",
        seen.taken,
        count("attempts_started"),
        seen.probed
    ));
    found
}
