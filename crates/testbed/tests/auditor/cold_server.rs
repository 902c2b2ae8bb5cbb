//! Tests of the rule against overloading a cold server.

use arrowstand_testbed::audit::Rule;
use arrowstand_testbed::event_log::{ListedStatus, LogEvent, RequestOutcome, ServerState};
use arrowstand_testbed::index::{
    ArrivalNumber, ClassIndex, RequestNumber, ServerIndex, SidecarIndex,
};

use super::{S, ViolationFields, audit, listed};

/// Whether the sending sidecar was notified of the server's start.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sidecar {
    Notified,
    NotNotified,
}

/// Whether the server is still warming up.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Server {
    Cold,
    Warm,
}

/// Audits a log in which a sidecar sends `count` requests within one window, each with 100 ms of
/// work, to a server that can do 0.4 s of work per second.
#[expect(clippy::too_many_lines, reason = "one table of log records")]
fn audit_requests(count: u64, sidecar: Sidecar, server: Server) -> Vec<ViolationFields> {
    let mut events = vec![(
        S,
        LogEvent::ServerStateChanged {
            server: ServerIndex::new(0),
            zone: 0,
            state: ServerState::Cold,
        },
    )];
    if sidecar == Sidecar::Notified {
        events.push(listed(S, ListedStatus::Ready, S));
    }
    for n in 0..count {
        let at = S + 10 + n;
        events.push((
            at,
            LogEvent::RequestAccepted {
                request: RequestNumber::new(n),
                arrival: ArrivalNumber::new(n),
                sidecar: SidecarIndex::new(0),
                class: ClassIndex::new(0),
                due: 2 * S,
            },
        ));
        events.push((
            at,
            LogEvent::AttemptReceived {
                request: RequestNumber::new(n),
                server: ServerIndex::new(0),
                work: 100_000.0,
                capacity: 0.4,
                cold: server == Server::Cold,
            },
        ));
        events.push((
            at,
            LogEvent::ResponseReceived {
                request: RequestNumber::new(n),
                outcome: RequestOutcome::Failed,
            },
        ));
    }
    audit(&events)
}

#[test]
fn notified_sidecars_must_not_overload_a_cold_server() {
    // The limit is 2.5 x 0.4 x 1.5 s = 1.5 s of work plus a tolerance of two requests, so 17
    // requests keep the rule and 18 violate it.
    assert_eq!(audit_requests(17, Sidecar::Notified, Server::Cold), []);
    assert_eq!(
        audit_requests(18, Sidecar::Notified, Server::Cold),
        [(Rule::ColdServerNotOverloaded, Some(17), Some(0), S + 27)]
    );
    assert_eq!(audit_requests(18, Sidecar::NotNotified, Server::Cold), []);
    assert_eq!(audit_requests(18, Sidecar::Notified, Server::Warm), []);
}
