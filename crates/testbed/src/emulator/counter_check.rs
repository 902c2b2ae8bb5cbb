//! Compares the sidecars' counters with what clients and servers saw, to the last one.
//!
//! An attempt that was cancelled may or may not have reached its server; how many were is counted,
//! so what the servers received must lie within that many. Everything else must be equal.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use super::shared::Shared;
use super::sidecars::FleetCounters;
use crate::conversion::u64_from_count;
use crate::event_log::{LogEvent, LogRecord, RequestOutcome};

/// What the comparison found.
#[derive(Default)]
pub(super) struct Comparison {
    /// Lines that fail the run.
    pub(super) differences: Vec<String>,
    /// Lines for the reader.
    pub(super) remarks: Vec<String>,
}

impl Comparison {
    fn check_equal(&mut self, what: &str, sidecars: u64, emulated: u64) {
        if sidecars != emulated {
            self.differences.push(format!(
                "{what}: sidecars {sidecars}, clients and servers {emulated}"
            ));
        }
    }

    fn check_within(&mut self, what: &str, least: u64, most: u64, servers: u64) {
        if !(least..=most).contains(&servers) {
            self.differences.push(format!(
                "{what}: sidecars {least} to {most}, servers {servers}"
            ));
        }
    }
}

/// What clients and servers saw.
#[derive(Default)]
struct Observed {
    accepted: u64,
    responses: HashMap<RequestOutcome, u64>,
    disconnected: u64,
    attempts: u64,
    rejected_attempts: u64,
    health_checks: u64,
}

impl Observed {
    fn of(records: &[LogRecord]) -> Self {
        let mut observed = Self::default();
        for record in records {
            match record.event {
                LogEvent::RequestAccepted { .. } => observed.accepted += 1,
                LogEvent::ResponseReceived { outcome, .. } => {
                    *observed.responses.entry(outcome).or_default() += 1;
                }
                LogEvent::ClientDisconnected { .. } => observed.disconnected += 1,
                LogEvent::AttemptStarted { .. } => observed.attempts += 1,
                LogEvent::AttemptRejected { .. } => observed.rejected_attempts += 1,
                LogEvent::HealthChecked { .. } => observed.health_checks += 1,
                _ => {}
            }
        }
        observed
    }

    fn responses(&self, outcome: RequestOutcome) -> u64 {
        self.responses.get(&outcome).copied().unwrap_or(0)
    }

    /// Requests whose client disconnected or timed out.
    fn abandoned(&self) -> u64 {
        let unanswered = self.accepted - self.responses.values().sum::<u64>() - self.disconnected;
        self.disconnected + unanswered
    }
}

/// Compares the two. The counters of a process that was killed are lost, and then there is nothing
/// to compare.
pub(super) fn compare(
    shared: &Shared,
    records: &[LogRecord],
    counters: &FleetCounters,
) -> Comparison {
    if let Some(incomparable) = incomparable(counters) {
        return incomparable;
    }
    let mut found = Comparison::default();
    let observed = Observed::of(records);
    compare_requests(&mut found, counters, &observed);
    compare_attempts(&mut found, counters, &observed);
    let sidecars = u64_from_count(shared.scenario.sidecars.count);
    compare_health_checks(&mut found, counters, &observed, sidecars);
    found.remarks.push(summary(shared, counters, &observed));
    found
}

/// What is said in place of a comparison, where counters are missing.
fn incomparable(counters: &FleetCounters) -> Option<Comparison> {
    let mut found = Comparison::default();
    if counters.missing > 0 {
        found.differences.push(format!(
            "{} sidecars printed no counters at their end",
            counters.missing
        ));
        return Some(found);
    }
    if counters.killed > 0 {
        found.remarks.push(format!(
            "counters not compared: {} sidecars were killed, and their counters lost",
            counters.killed
        ));
        return Some(found);
    }
    None
}

fn summary(shared: &Shared, counters: &FleetCounters, observed: &Observed) -> String {
    format!(
        "counters compared: {} requests, {} of {} attempts received ({} in silence), \
         {} health checks ({} in silence)",
        observed.accepted,
        observed.attempts,
        counters.sum.get("attempts_started"),
        shared.blackholed_attempts(),
        observed.health_checks,
        shared.blackholed_health_checks()
    )
}

fn compare_requests(found: &mut Comparison, counters: &FleetCounters, observed: &Observed) {
    let count = |name: &str| counters.sum.get(name);
    let over_capacity = count("requests_over_capacity");
    found.check_equal(
        "requests accepted",
        count("requests_accepted") + over_capacity,
        observed.accepted,
    );
    found.check_equal(
        "responses served",
        count("responses_served"),
        observed.responses(RequestOutcome::Served),
    );
    found.check_equal(
        "responses rejected",
        count("responses_rejected") + over_capacity,
        observed.responses(RequestOutcome::Rejected),
    );
    found.check_equal(
        "responses failed",
        count("responses_failed") + count("responses_overdue"),
        observed.responses(RequestOutcome::Failed),
    );
    found.check_equal(
        "clients disconnected",
        count("clients_disconnected"),
        observed.abandoned(),
    );
}

/// What was cancelled or timed out may not have been written, or may have been rejected all the
/// same.
fn compare_attempts(found: &mut Comparison, counters: &FleetCounters, observed: &Observed) {
    let count = |name: &str| counters.sum.get(name);
    let rejected = count("attempts_rejected");
    let received = count("attempts_served") + count("attempts_error") + rejected;
    let abandoned = count("attempts_cancelled") + count("attempts_timed_out");
    found.check_within(
        "attempts received",
        received,
        received + (abandoned + count("attempts_reset")),
        observed.attempts,
    );
    found.check_within(
        "attempts rejected",
        rejected,
        rejected + abandoned,
        observed.rejected_attempts,
    );
}

/// One health check of each sidecar may have been on its way as the sidecar ended.
fn compare_health_checks(
    found: &mut Comparison,
    counters: &FleetCounters,
    observed: &Observed,
    sidecars: u64,
) {
    let sent = counters.sum.get("health_checks_sent");
    let failed = counters.sum.get("health_checks_failed");
    found.check_within(
        "health checks",
        sent.saturating_sub(failed + sidecars),
        sent,
        observed.health_checks,
    );
}
