//! Compares the sidecars' counters with the events that clients and servers recorded.
//!
//! Counts of requests and responses must be equal. Attempts that were cancelled, timed out or
//! reset, and health checks that failed or were open when a sidecar exited, may or may not have
//! reached their server: what servers received must be within the range that these leave.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use super::shared::Shared;
use super::sidecars::CounterTotals;
use crate::conversion::u64_from_count;
use crate::event_log::{LogEvent, LogRecord, RequestOutcome};

/// The result of the comparison.
#[derive(Default)]
pub(super) struct Comparison {
    /// Differences; each one fails the run.
    pub(super) differences: Vec<String>,
    /// Remarks for the report, which do not fail the run.
    pub(super) remarks: Vec<String>,
}

impl Comparison {
    fn check_equal(&mut self, counter: &str, sidecars: u64, observed: u64) {
        if sidecars != observed {
            self.differences.push(format!(
                "{counter}: sidecars {sidecars}, clients and servers {observed}"
            ));
        }
    }

    fn check_within(&mut self, counter: &str, min: u64, max: u64, observed: u64) {
        if !(min..=max).contains(&observed) {
            self.differences.push(format!(
                "{counter}: sidecars {min} to {max}, servers {observed}"
            ));
        }
    }
}

/// Counts of the events that clients and servers recorded.
#[derive(Default)]
struct ObservedCounts {
    accepted: u64,
    responses: HashMap<RequestOutcome, u64>,
    disconnected: u64,
    attempts: u64,
    rejected_attempts: u64,
    health_checks: u64,
}

impl ObservedCounts {
    fn from_records(records: &[LogRecord]) -> Self {
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

/// Compares the sidecars' counters with the event log. If a process was killed, its counters are
/// lost and nothing is compared.
pub(super) fn compare(
    shared: &Shared,
    records: &[LogRecord],
    counters: &CounterTotals,
) -> Comparison {
    if let Some(comparison) = without_counters(counters) {
        return comparison;
    }
    let mut comparison = Comparison::default();
    let observed = ObservedCounts::from_records(records);
    compare_requests(&mut comparison, counters, &observed);
    compare_attempts(&mut comparison, counters, &observed);
    let sidecar_count = u64_from_count(shared.scenario.sidecars.count);
    compare_health_checks(&mut comparison, counters, &observed, sidecar_count);
    comparison
        .remarks
        .push(summary(shared, counters, &observed));
    comparison
}

/// The result if counters are missing or lost; `None` if all are there.
fn without_counters(counters: &CounterTotals) -> Option<Comparison> {
    let mut comparison = Comparison::default();
    if counters.missing > 0 {
        comparison.differences.push(format!(
            "{} sidecars printed no counters at their end",
            counters.missing
        ));
        return Some(comparison);
    }
    if counters.killed > 0 {
        comparison.remarks.push(format!(
            "counters not compared: {} sidecars were killed, and their counters lost",
            counters.killed
        ));
        return Some(comparison);
    }
    None
}

fn summary(shared: &Shared, counters: &CounterTotals, observed: &ObservedCounts) -> String {
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

fn compare_requests(
    comparison: &mut Comparison,
    counters: &CounterTotals,
    observed: &ObservedCounts,
) {
    let count = |name: &str| counters.sum.get(name);
    let over_capacity = count("requests_over_capacity");
    comparison.check_equal(
        "requests accepted",
        count("requests_accepted") + over_capacity,
        observed.accepted,
    );
    comparison.check_equal(
        "responses served",
        count("responses_served"),
        observed.responses(RequestOutcome::Served),
    );
    comparison.check_equal(
        "responses rejected",
        count("responses_rejected") + over_capacity,
        observed.responses(RequestOutcome::Rejected),
    );
    comparison.check_equal(
        "responses failed",
        count("responses_failed") + count("responses_overdue"),
        observed.responses(RequestOutcome::Failed),
    );
    comparison.check_equal(
        "clients disconnected",
        count("clients_disconnected"),
        observed.abandoned(),
    );
}

/// An attempt that was cancelled, timed out or reset may not have reached the server, and one that
/// was cancelled or timed out may have been rejected.
fn compare_attempts(
    comparison: &mut Comparison,
    counters: &CounterTotals,
    observed: &ObservedCounts,
) {
    let count = |name: &str| counters.sum.get(name);
    let rejected = count("attempts_rejected");
    let received = count("attempts_served") + count("attempts_error") + rejected;
    let abandoned = count("attempts_cancelled") + count("attempts_timed_out");
    comparison.check_within(
        "attempts received",
        received,
        received + (abandoned + count("attempts_reset")),
        observed.attempts,
    );
    comparison.check_within(
        "attempts rejected",
        rejected,
        rejected + abandoned,
        observed.rejected_attempts,
    );
}

/// The last health check of each sidecar may have been in transit when the sidecar exited.
fn compare_health_checks(
    comparison: &mut Comparison,
    counters: &CounterTotals,
    observed: &ObservedCounts,
    sidecar_count: u64,
) {
    let sent = counters.sum.get("health_checks_sent");
    let failed = counters.sum.get("health_checks_failed");
    comparison.check_within(
        "health checks",
        sent.saturating_sub(failed + sidecar_count),
        sent,
        observed.health_checks,
    );
}
