//! The auditor itself: for each rule a forged record that breaks it is caught, and one that only just keeps it
//! passes.

use arrowstand_testbed::audit::{Auditor, Rule};
use arrowstand_testbed::event_log::{
    EventLog, ListedStatus, LogEvent, LogRecord, ProcessState, RequestOutcome, ServerState, read,
};
use arrowstand_testbed::scenario::{Class, DeduplicationGroup, Effect, Micros, Scenario};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

fn day() -> Scenario {
    let class = |effect, group| Class {
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window_ms: 10_000.0,
        ..Class::default()
    };
    let classes = [
        class(Effect::Safe, DeduplicationGroup::All),
        class(Effect::Unsafe, DeduplicationGroup::All),
        class(Effect::Keyed, DeduplicationGroup::Zone),
        class(Effect::Keyed, DeduplicationGroup::All),
    ];
    Scenario {
        class: classes.to_vec(),
        ..Scenario::default()
    }
}

/// What the auditor says of a record.
fn audit(lines: &[(Micros, LogEvent)]) -> Vec<(Rule, Option<u64>, Option<u32>, Micros)> {
    let mut auditor = Auditor::new(&day(), 0);
    // Two job servers in zone 0, one in zone 1.
    for (server, zone) in [(0, 0), (1, 0), (2, 1)] {
        auditor.note(&LogRecord {
            at: 0,
            event: LogEvent::ServerStateChanged {
                server,
                zone,
                state: ServerState::Up,
            },
        });
    }
    for &(at, entry) in lines {
        auditor.note(&LogRecord { at, event: entry });
    }
    auditor.finish();
    assert_eq!(auditor.violation_count(), auditor.violations().len() as u64);
    auditor
        .violations()
        .map(|v| (v.rule, v.request, v.server, v.at))
        .collect()
}

fn taken(tx: u64, class: u16) -> (Micros, LogEvent) {
    (
        S,
        LogEvent::RequestAccepted {
            request: tx,
            arrival: tx,
            sidecar: 0,
            class,
            due: 2 * S,
        },
    )
}

fn arrived(at: Micros, tx: u64, server: u32) -> (Micros, LogEvent) {
    (
        at,
        LogEvent::AttemptReceived {
            request: tx,
            server,
            work: 10_000.0,
            capacity: 2.0,
            cold: false,
        },
    )
}

fn answered(at: Micros, tx: u64, how: RequestOutcome) -> (Micros, LogEvent) {
    (
        at,
        LogEvent::ResponseReceived {
            request: tx,
            outcome: how,
        },
    )
}

fn turned(at: Micros, tx: u64, server: u32) -> (Micros, LogEvent) {
    (
        at,
        LogEvent::AttemptRejected {
            request: tx,
            server,
        },
    )
}

const GRACE: Micros = 20 * MS;

#[test]
fn one_answer_in_time_and_no_more() {
    let late = 2 * S + GRACE;
    assert_eq!(
        audit(&[taken(1, 0), answered(late, 1, RequestOutcome::Served)]),
        []
    );
    let found = audit(&[taken(1, 0), answered(late + 1, 1, RequestOutcome::Served)]);
    assert!(
        found
            .iter()
            .all(|f| f.0 == Rule::SingleResponse && f.1 == Some(1))
            && !found.is_empty()
    );
    assert_eq!(
        audit(&[taken(1, 0)]),
        [(Rule::SingleResponse, Some(1), None, late)]
    );
    let twice = [
        taken(1, 0),
        answered(S + 1, 1, RequestOutcome::Served),
        answered(S + 2, 1, RequestOutcome::Failed),
    ];
    assert_eq!(
        audit(&twice),
        [(Rule::SingleResponse, Some(1), None, S + 2)]
    );
    for how in [
        RequestOutcome::Mismatched,
        RequestOutcome::ConnectionLost,
        RequestOutcome::Unanswered,
    ] {
        let found = audit(&[taken(1, 0), answered(S + 5, 1, how)]);
        assert_eq!(
            found,
            [(Rule::SingleResponse, Some(1), None, S + 5)],
            "{how:?}"
        );
    }
}

#[test]
fn who_left_or_was_killed_is_owed_nothing_but_one_told_to_end_is() {
    assert_eq!(
        audit(&[
            taken(1, 0),
            (S + 1, LogEvent::ClientDisconnected { request: 1 })
        ]),
        []
    );
    let life = |life| {
        (
            S + 2,
            LogEvent::SidecarStateChanged {
                sidecar: 0,
                state: life,
            },
        )
    };
    assert_eq!(
        audit(&[
            taken(1, 0),
            life(ProcessState::Killed),
            answered(S + 3, 1, RequestOutcome::ConnectionLost)
        ]),
        []
    );
    assert_eq!(
        audit(&[
            taken(1, 0),
            life(ProcessState::Ending),
            life(ProcessState::Ended)
        ])
        .len(),
        1
    );
    // A kill before it was taken excuses nothing.
    let before = (
        S - 1,
        LogEvent::SidecarStateChanged {
            sidecar: 0,
            state: ProcessState::Killed,
        },
    );
    assert_eq!(audit(&[before, taken(1, 0)]).len(), 1);
}

#[test]
fn an_unsafe_request_arrives_again_only_if_it_was_turned_away() {
    let end = answered(S + 90, 1, RequestOutcome::Served);
    let good = [
        taken(1, 1),
        arrived(S + 1, 1, 0),
        turned(S + 1, 1, 0),
        arrived(S + 2, 1, 1),
        end,
    ];
    assert_eq!(audit(&good), []);
    let bad = [taken(1, 1), arrived(S + 1, 1, 0), arrived(S + 2, 1, 1), end];
    assert_eq!(
        audit(&bad),
        [(Rule::NoDuplicateExecution, Some(1), Some(1), S + 2)]
    );
    // Even at the same job server, and even after it had been turned away once elsewhere.
    let bad = [
        taken(1, 1),
        arrived(S + 1, 1, 0),
        turned(S + 1, 1, 0),
        arrived(S + 2, 1, 1),
        arrived(S + 3, 1, 1),
    ];
    assert_eq!(
        audit(&bad)[0],
        (Rule::NoDuplicateExecution, Some(1), Some(1), S + 3)
    );
    assert_eq!(
        audit(&[taken(1, 0), arrived(S + 1, 1, 0), arrived(S + 2, 1, 1), end]),
        []
    );
}

#[test]
fn a_key_holds_in_its_zone_and_window() {
    let end = answered(S + 90, 1, RequestOutcome::Served);
    assert_eq!(
        audit(&[taken(1, 2), arrived(S + 1, 1, 0), arrived(S + 2, 1, 1), end]),
        []
    );
    let crossed = audit(&[taken(1, 2), arrived(S + 1, 1, 0), arrived(S + 2, 1, 2), end]);
    assert_eq!(
        crossed,
        [(Rule::NoDuplicateExecution, Some(1), Some(2), S + 2)]
    );
    // Where all job servers know the key, a zone does not matter, and the window does.
    assert_eq!(
        audit(&[taken(1, 3), arrived(S + 1, 1, 0), arrived(S + 2, 1, 2), end]),
        []
    );
    let late = [
        taken(1, 3),
        arrived(S + 1, 1, 0),
        arrived(11 * S + 1, 1, 0),
        end,
    ];
    assert_eq!(
        audit(&late)
            .iter()
            .filter(|f| f.0 == Rule::NoDuplicateExecution)
            .count(),
        0
    );
    let later = [
        taken(1, 3),
        arrived(S + 1, 1, 0),
        arrived(11 * S + 2, 1, 0),
        end,
    ];
    assert_eq!(
        audit(&later)
            .iter()
            .filter(|f| f.0 == Rule::NoDuplicateExecution)
            .count(),
        1
    );
}

#[test]
fn what_may_have_run_is_not_refused() {
    for (class, honest) in [(0, true), (1, false), (2, false), (3, true)] {
        let found = audit(&[
            taken(1, class),
            arrived(S + 1, 1, 0),
            answered(S + 2, 1, RequestOutcome::Rejected),
        ]);
        let wanted = if honest {
            vec![]
        } else {
            vec![(Rule::NoRejectionAfterExecution, Some(1), None, S + 2)]
        };
        assert_eq!(found, wanted, "class {class}");
    }
    let turned_away = [
        taken(1, 1),
        arrived(S + 1, 1, 0),
        turned(S + 1, 1, 0),
        answered(S + 2, 1, RequestOutcome::Rejected),
    ];
    assert_eq!(audit(&turned_away), []);
    let after = [
        taken(1, 1),
        answered(S + 1, 1, RequestOutcome::Rejected),
        arrived(S + 2, 1, 0),
    ];
    assert_eq!(
        audit(&after),
        [(Rule::NoRejectionAfterExecution, Some(1), Some(0), S + 2)]
    );
}

fn began(at: Micros, sidecar: u32) -> (Micros, LogEvent) {
    (
        at,
        LogEvent::AttemptStarted {
            request: 1,
            sidecar,
            server: 0,
            cross_zone: false,
        },
    )
}

fn listed(at: Micros, listing: ListedStatus, launched: Micros) -> (Micros, LogEvent) {
    (
        at,
        LogEvent::EndpointListed {
            sidecar: 0,
            server: 0,
            status: listing,
            incarnation: launched,
        },
    )
}

#[test]
fn nothing_new_begins_two_seconds_after_a_drain_was_told() {
    for out in [ListedStatus::Draining, ListedStatus::Gone] {
        assert_eq!(audit(&[listed(S, out, 0), began(3 * S, 0)]), []);
        let found = audit(&[listed(S, out, 0), began(3 * S + 1, 0)]);
        assert_eq!(
            found,
            [(Rule::NoAttemptAfterDrain, Some(1), Some(0), 3 * S + 1)]
        );
    }
    // Telling it again does not start the time anew; a new start ends the drain; others were not told.
    let again = [
        listed(S, ListedStatus::Draining, 0),
        listed(2 * S, ListedStatus::Gone, 0),
        began(3 * S + 1, 0),
    ];
    assert_eq!(audit(&again).len(), 1);
    assert_eq!(
        audit(&[
            listed(S, ListedStatus::Gone, 0),
            listed(2 * S, ListedStatus::Ready, 2 * S),
            began(4 * S, 0)
        ]),
        []
    );
    assert_eq!(
        audit(&[listed(S, ListedStatus::Gone, 0), began(4 * S, 1)]),
        []
    );
    // A restarted sidecar knows only what it is told since.
    let restart = (
        2 * S,
        LogEvent::SidecarStateChanged {
            sidecar: 0,
            state: ProcessState::Killed,
        },
    );
    assert_eq!(
        audit(&[listed(S, ListedStatus::Gone, 0), restart, began(4 * S, 0)]),
        []
    );
}

/// Work of 100 ms each, so many times within a span, at a cold server that can do 0.4 s of work a second.
fn pressed(count: u64, told: bool, cold: bool) -> Vec<(Rule, Option<u64>, Option<u32>, Micros)> {
    let mut lines = vec![(
        S,
        LogEvent::ServerStateChanged {
            server: 0,
            zone: 0,
            state: ServerState::Cold,
        },
    )];
    if told {
        lines.push(listed(S, ListedStatus::Ready, S));
    }
    for n in 0..count {
        let at = S + 10 + n;
        lines.push((
            at,
            LogEvent::RequestAccepted {
                request: n,
                arrival: n,
                sidecar: 0,
                class: 0,
                due: 2 * S,
            },
        ));
        lines.push((
            at,
            LogEvent::AttemptReceived {
                request: n,
                server: 0,
                work: 100_000.0,
                capacity: 0.4,
                cold,
            },
        ));
        lines.push((
            at,
            LogEvent::ResponseReceived {
                request: n,
                outcome: RequestOutcome::Failed,
            },
        ));
    }
    audit(&lines)
}

#[test]
fn a_cold_server_is_not_sent_more_than_its_multiple_by_those_who_know() {
    // 2.5 x 0.4 x 1.5 s are 1.5 s of work, and two requests for chance: 17 pass, 18 do not.
    assert_eq!(pressed(17, true, true), []);
    assert_eq!(
        pressed(18, true, true),
        [(Rule::ColdServerNotOverloaded, Some(17), Some(0), S + 27)]
    );
    assert_eq!(pressed(18, false, true), []);
    assert_eq!(pressed(18, true, false), []);
}

#[test]
fn a_record_that_was_written_reads_back_and_a_bad_line_is_named() {
    let lines = [LogRecord {
        at: 7,
        event: LogEvent::ArrivalEnded {
            arrival: 3,
            outcome: RequestOutcome::NotPlayed,
            requests: 2,
        },
    }];
    let text: String = lines
        .iter()
        .map(|l| serde_json::to_string(l).expect("written") + "\n")
        .collect();
    assert_eq!(read(&text).expect("read"), lines);
    let fault = read(&format!("{text}{{\"at\":1}}\n"))
        .expect_err("no record")
        .to_string();
    assert!(fault.starts_with("line 2:"), "{fault}");
}
