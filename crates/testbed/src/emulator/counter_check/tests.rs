//! Comparison of counters that are equal, differ, or are lost.

use std::time::Duration;

use super::{Comparison, compare};
use crate::emulator::clock::Clock;
use crate::emulator::shared::Shared;
use crate::emulator::sidecars::{CounterTotals, Counters};
use crate::event_log::{LogEvent, LogRecord, RequestOutcome};
use crate::index::{ArrivalNumber, ClassIndex, RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::Scenario;

/// Counters that equal those of [`records`]: one request with each outcome, another one rejected
/// over capacity, and four attempts.
const COUNTERS: &str = "stopped\nrequests_accepted 4\nrequests_over_capacity 1\n\
    responses_served 1\nresponses_rejected 1\nresponses_failed 1\nclients_disconnected 1\n\
    attempts_started 4\nattempts_served 1\nattempts_error 1\nattempts_rejected 1\n\
    attempts_cancelled 1\nhealth_checks_sent 3\nhealth_checks_failed 0\n";

fn records() -> Vec<LogRecord> {
    let server = ServerIndex::new(0);
    let sidecar = SidecarIndex::new(0);
    let accepted = (1..=5).map(|number| LogEvent::RequestAccepted {
        request: RequestNumber::new(number),
        arrival: ArrivalNumber::new(number),
        sidecar,
        class: ClassIndex::new(0),
        due: 1_000,
    });
    let responses = [
        RequestOutcome::Served,
        RequestOutcome::Rejected,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
    ];
    let responses = (1..).map(RequestNumber::new).zip(responses);
    let responses =
        responses.map(|(request, outcome)| LogEvent::ResponseReceived { request, outcome });
    let attempts = (1..=4).map(|number| LogEvent::AttemptStarted {
        request: RequestNumber::new(number),
        sidecar,
        server,
        cross_zone: false,
    });
    let health_check = LogEvent::HealthChecked { sidecar, server };
    accepted
        .chain(responses)
        .chain(attempts)
        .chain([
            LogEvent::ClientDisconnected {
                request: RequestNumber::new(5),
            },
            LogEvent::AttemptRejected {
                request: RequestNumber::new(2),
                server,
            },
        ])
        .chain([health_check; 3])
        .map(|event| LogRecord { at: 1, event })
        .collect()
}

fn compare_counters(counters: &CounterTotals) -> Comparison {
    let clock = Clock::starting_in(Duration::ZERO);
    compare(
        &Shared::new(&Scenario::default(), clock),
        &records(),
        counters,
    )
}

fn counter_totals(text: &str) -> CounterTotals {
    CounterTotals {
        sum: Counters::from_log(text).expect("printed"),
        ..CounterTotals::default()
    }
}

#[test]
fn equal_counters_give_one_remark_and_no_difference() {
    let comparison = compare_counters(&counter_totals(COUNTERS));
    assert_eq!(comparison.differences, Vec::<String>::new());
    let remark = "counters compared: 5 requests, 4 of 4 attempts received (0 in silence), \
                  3 health checks (0 in silence)";
    assert_eq!(comparison.remarks, [remark]);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn each_counter_that_differs_is_reported_with_both_values() {
    for (counter, changed, difference) in [
        (
            "requests_accepted 4",
            "requests_accepted 5",
            "requests accepted: sidecars 6, clients and servers 5",
        ),
        (
            "responses_served 1",
            "responses_served 0",
            "responses served: sidecars 0, clients and servers 1",
        ),
        (
            "responses_rejected 1",
            "responses_rejected 2",
            "responses rejected: sidecars 3, clients and servers 2",
        ),
        (
            "responses_failed 1",
            "responses_failed 1\nresponses_overdue 1",
            "responses failed: sidecars 2, clients and servers 1",
        ),
        (
            "clients_disconnected 1",
            "clients_disconnected 0",
            "clients disconnected: sidecars 0, clients and servers 1",
        ),
        (
            "attempts_served 1",
            "attempts_served 3",
            "attempts received: sidecars 5 to 6, servers 4",
        ),
        (
            "attempts_error 1\nattempts_rejected 1",
            "attempts_error 0\nattempts_rejected 2",
            "attempts rejected: sidecars 2 to 3, servers 1",
        ),
        (
            "health_checks_sent 3",
            "health_checks_sent 2",
            "health checks: sidecars 0 to 2, servers 3",
        ),
    ] {
        assert!(COUNTERS.contains(counter), "{counter}");
        let comparison = compare_counters(&counter_totals(&COUNTERS.replace(counter, changed)));
        assert!(
            comparison.differences.iter().any(|line| line == difference),
            "{difference}: {:?}",
            comparison.differences
        );
    }
}

#[test]
fn killed_sidecars_prevent_the_comparison_and_missing_counters_are_a_difference() {
    let mut counters = counter_totals("stopped\n");
    counters.killed = 2;
    let comparison = compare_counters(&counters);
    assert!(comparison.differences.is_empty());
    assert_eq!(
        comparison.remarks,
        ["counters not compared: 2 sidecars were killed, and their counters lost"]
    );
    counters.missing = 1;
    let comparison = compare_counters(&counters);
    assert_eq!(
        comparison.differences,
        ["1 sidecars printed no counters at their end"]
    );
    assert!(comparison.remarks.is_empty());
}
