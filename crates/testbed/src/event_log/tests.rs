//! Logs of earlier versions are readable, and written logs round-trip.

mod stored_names;

use std::collections::BTreeMap;

use super::{
    EventLogWriter, EventSink as _, ListedStatus, LogEvent, LogRecord, ProcessState,
    RequestOutcome, ServerState, read,
};
use crate::index::{
    ArrivalNumber, ClassIndex, RequestNumber, ServerIndex, SidecarIndex, TenantIndex,
};

/// The first 200 lines of a calm run in the old format, and one line of each further kind in it.
const OLD_LOG: &str = include_str!("../../tests/data/records/calm-1.ledger");
/// One old-format line of each kind with each state and outcome that occurs in stored logs.
const OLD_LINE_OF_EACH_KIND: &str = include_str!("../../tests/data/records/every-kind.ledger");

fn kind(event: &LogEvent) -> String {
    let value = serde_json::to_value(event).expect("written");
    value["what"].as_str().expect("a kind").to_owned()
}

fn written(records: &[LogRecord]) -> String {
    let mut bytes = Vec::new();
    let mut writer = EventLogWriter::new(&mut bytes);
    for record in records {
        writer.record(record);
    }
    writer.finish().expect("written");
    String::from_utf8(bytes).expect("text")
}

#[test]
fn old_log_is_read_completely_under_the_current_names() {
    let records = read(OLD_LOG).expect("read");
    let mut counts = BTreeMap::new();
    for record in records {
        *counts.entry(kind(&record.event)).or_insert(0) += 1;
    }
    let expected = [
        ("arrival_ended", 1),
        ("arrival_started", 11),
        ("attempt_received", 8),
        ("attempt_started", 8),
        ("connection_opened", 29),
        ("discovery_polled", 5),
        ("endpoint_listed", 70),
        ("health_checked", 37),
        ("request_accepted", 11),
        ("response_received", 1),
        ("server_gauge", 1),
        ("server_state_changed", 14),
        ("sidecar_state_changed", 5),
        ("work_done", 2),
    ];
    assert_eq!(counts, expected.map(|(k, n)| (k.to_owned(), n)).into());
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn old_line_of_each_kind_keeps_its_meaning() {
    let records = read(OLD_LINE_OF_EACH_KIND).expect("read");
    assert_eq!(records.len(), 33);
    let event = |at| records.iter().find(|r| r.at == at).expect("there").event;
    let expected = [
        (
            4_419,
            LogEvent::ArrivalStarted {
                arrival: ArrivalNumber::new(1),
                sidecar: SidecarIndex::new(2),
                class: ClassIndex::new(2),
                tenant: TenantIndex::new(0),
                within_quota: true,
                work: 9_873.518_844_543_214,
            },
        ),
        (
            21_712,
            LogEvent::AttemptStarted {
                request: RequestNumber::new(8),
                sidecar: SidecarIndex::new(3),
                server: ServerIndex::new(0),
                cross_zone: false,
            },
        ),
        (
            22_031,
            LogEvent::AttemptReceived {
                request: RequestNumber::new(8),
                server: ServerIndex::new(0),
                work: 19_654.795_076_852_744,
                capacity: 2.996_052_179_303_716_5,
                cold: false,
            },
        ),
        (
            2_032_496,
            LogEvent::AttemptRejected {
                request: RequestNumber::new(920),
                server: ServerIndex::new(0),
            },
        ),
        (
            37_226,
            LogEvent::WorkDone {
                request: RequestNumber::new(14),
                server: ServerIndex::new(13),
                work: 6_476.019_318_328_092,
            },
        ),
        (
            481_543,
            LogEvent::ResponseReceived {
                request: RequestNumber::new(88),
                outcome: RequestOutcome::Rejected,
            },
        ),
        (
            28_915_071,
            LogEvent::ArrivalEnded {
                arrival: ArrivalNumber::new(12_304),
                outcome: RequestOutcome::Unanswered,
                requests: 2,
            },
        ),
        (
            3_522_082,
            LogEvent::EndpointListed {
                sidecar: SidecarIndex::new(2),
                server: ServerIndex::new(0),
                status: ListedStatus::Draining,
                incarnation: 0,
            },
        ),
        (
            59_652_895,
            LogEvent::ServerStateChanged {
                server: ServerIndex::new(7),
                zone: 1,
                state: ServerState::OverloadShutdown,
            },
        ),
        (
            60_000_000,
            LogEvent::SidecarStateChanged {
                sidecar: SidecarIndex::new(0),
                state: ProcessState::Killed,
            },
        ),
        (
            1_000_000,
            LogEvent::ServerGauge {
                server: ServerIndex::new(0),
                in_flight: 3,
                connections: 14,
            },
        ),
        (
            11_294,
            LogEvent::ConnectionOpened {
                server: ServerIndex::new(7),
            },
        ),
    ];
    for (at, expected) in expected {
        assert_eq!(event(at), expected, "at {at}");
    }
}

/// Names that earlier versions wrote but that occur in neither of the two stored logs.
#[test]
fn old_names_absent_from_the_stored_logs_are_read() {
    let read_one = |line: &str| read(line).expect("read")[0].event;
    assert_eq!(
        read_one(r#"{"at":1,"what":"left","tx":2}"#),
        LogEvent::ClientDisconnected {
            request: RequestNumber::new(2)
        }
    );
    for (name, state) in [
        ("ending", ProcessState::ShuttingDown),
        ("ended", ProcessState::Exited),
    ] {
        let line = format!(r#"{{"at":1,"what":"sidecar","sidecar":2,"life":"{name}"}}"#);
        let expected = LogEvent::SidecarStateChanged {
            sidecar: SidecarIndex::new(2),
            state,
        };
        assert_eq!(read_one(&line), expected);
    }
    for (name, outcome) in [
        ("wrong", RequestOutcome::Mismatched),
        ("left", RequestOutcome::Disconnected),
        ("choked_off", RequestOutcome::NotPlayed),
    ] {
        let line = format!(r#"{{"at":1,"what":"closed","ask":2,"how":"{name}","tries":3}}"#);
        let expected = LogEvent::ArrivalEnded {
            arrival: ArrivalNumber::new(2),
            outcome,
            requests: 3,
        };
        assert_eq!(read_one(&line), expected);
    }
}

#[test]
fn old_log_round_trips_in_the_current_format() {
    for old in [OLD_LOG, OLD_LINE_OF_EACH_KIND] {
        let records = read(old).expect("read");
        let new = written(&records);
        assert_ne!(new, old, "the current names are written");
        assert_eq!(read(&new).expect("read"), records);
    }
}

#[test]
fn written_log_round_trips_and_an_invalid_line_is_reported_by_number() {
    let records = [LogRecord {
        at: 7,
        event: LogEvent::ArrivalEnded {
            arrival: ArrivalNumber::new(3),
            outcome: RequestOutcome::NotPlayed,
            requests: 2,
        },
    }];
    let text = written(&records);
    assert_eq!(read(&text).expect("read"), records);
    let error = read(&format!("{text}{{\"at\":1}}\n")).expect_err("no record");
    assert!(error.to_string().starts_with("line 2:"), "{error}");
}
