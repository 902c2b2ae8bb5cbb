//! Integration tests of the auditor: for each rule, an event log that violates it is reported, and
//! one that keeps it by the smallest margin is not.

mod cold_server;
mod drain;
mod execution;
mod rejection;
mod response;

use arrowstand_testbed::audit::{Auditor, Rule};
use arrowstand_testbed::event_log::{
    EventSink, ListedStatus, LogEvent, LogRecord, ProcessState, RequestOutcome, ServerState,
};
use arrowstand_testbed::index::{
    ArrivalNumber, ClassIndex, RequestNumber, ServerIndex, SidecarIndex,
};
use arrowstand_testbed::scenario::{Class, DeduplicationScope, Idempotency, Micros, Scenario};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

/// A scenario with four request classes that differ in their idempotency. The tests refer to them
/// by their position.
fn scenario() -> Scenario {
    let class = |idempotency, deduplication_scope| Class {
        idempotency,
        deduplication_scope,
        deduplication_window_ms: 10_000.0,
        ..Class::default()
    };
    let classes = [
        class(Idempotency::Idempotent, DeduplicationScope::All),
        class(Idempotency::NonIdempotent, DeduplicationScope::All),
        class(Idempotency::IdempotencyKey, DeduplicationScope::Zone),
        class(Idempotency::IdempotencyKey, DeduplicationScope::All),
    ];
    Scenario {
        class: classes.to_vec(),
        ..Scenario::default()
    }
}

/// Rule, request, server and time of a violation.
type ViolationFields = (Rule, Option<u64>, Option<u32>, Micros);

/// The violations that the auditor reports for a log of these events.
fn audit(events: &[(Micros, LogEvent)]) -> Vec<ViolationFields> {
    let mut auditor = Auditor::new(&scenario(), 0);
    // Two servers in zone 0, one in zone 1.
    for (server, zone) in [(0, 0), (1, 0), (2, 1)] {
        auditor.record(&LogRecord {
            at: 0,
            event: LogEvent::ServerStateChanged {
                server: ServerIndex::new(server),
                zone,
                state: ServerState::Up,
            },
        });
    }
    for &(at, event) in events {
        auditor.record(&LogRecord { at, event });
    }
    auditor.finish();
    assert_eq!(auditor.violation_count(), auditor.violations().len() as u64);
    auditor
        .violations()
        .map(|v| {
            (
                v.rule,
                v.request.map(RequestNumber::value),
                v.server.map(ServerIndex::value),
                v.at,
            )
        })
        .collect()
}

fn accepted(request: u64, class: u16) -> (Micros, LogEvent) {
    (
        S,
        LogEvent::RequestAccepted {
            request: RequestNumber::new(request),
            arrival: ArrivalNumber::new(request),
            sidecar: SidecarIndex::new(0),
            class: ClassIndex::new(class),
            due: 2 * S,
        },
    )
}

fn received(at: Micros, request: u64, server: u32) -> (Micros, LogEvent) {
    (
        at,
        LogEvent::AttemptReceived {
            request: RequestNumber::new(request),
            server: ServerIndex::new(server),
            work: 10_000.0,
            capacity: 2.0,
            cold: false,
        },
    )
}

fn responded(at: Micros, request: u64, outcome: RequestOutcome) -> (Micros, LogEvent) {
    let request = RequestNumber::new(request);
    (at, LogEvent::ResponseReceived { request, outcome })
}

fn rejected(at: Micros, request: u64, server: u32) -> (Micros, LogEvent) {
    let server = ServerIndex::new(server);
    let request = RequestNumber::new(request);
    (at, LogEvent::AttemptRejected { request, server })
}

fn started(at: Micros, sidecar: u32) -> (Micros, LogEvent) {
    (
        at,
        LogEvent::AttemptStarted {
            request: RequestNumber::new(1),
            sidecar: SidecarIndex::new(sidecar),
            server: ServerIndex::new(0),
            cross_zone: false,
        },
    )
}

fn sidecar_state(at: Micros, sidecar: u32, state: ProcessState) -> (Micros, LogEvent) {
    let sidecar = SidecarIndex::new(sidecar);
    (at, LogEvent::SidecarStateChanged { sidecar, state })
}

fn listed(at: Micros, status: ListedStatus, incarnation: Micros) -> (Micros, LogEvent) {
    (
        at,
        LogEvent::EndpointListed {
            sidecar: SidecarIndex::new(0),
            server: ServerIndex::new(0),
            status,
            incarnation,
        },
    )
}

#[test]
fn violations_are_described_in_full_and_listed_up_to_a_limit() {
    let mut auditor = Auditor::new(&scenario(), 0);
    for request in 0..60 {
        for (at, event) in [
            accepted(request, 1),
            received(S + 1_000, request, 0),
            received(S + 2_000, request, 1),
            responded(S + 3_000, request, RequestOutcome::Served),
        ] {
            auditor.record(&LogRecord { at, event });
        }
    }
    auditor.finish();
    assert_eq!(auditor.requests_read(), 60);
    assert_eq!(
        (auditor.violation_count(), auditor.violations().len()),
        (60, 50)
    );
    let first = auditor.violations().next().expect("a listed violation");
    assert_eq!(
        first.to_string(),
        "at 1.002 s, request 0000000000000000, server s1, \
         rule 'no duplicate execution outside the class's idempotency': \
         s0 had received it and may have executed it"
    );
}
