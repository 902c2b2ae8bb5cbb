//! One final response to each request, in time.

use arrowstand_testbed::audit::Rule;
use arrowstand_testbed::event_log::{LogEvent, ProcessState, RequestOutcome};
use arrowstand_testbed::index::RequestNumber;
use arrowstand_testbed::scenario::Micros;

use super::{MS, S, accepted, audit, responded, sidecar_state};

/// How long after its deadline a response may arrive.
const GRACE: Micros = 20 * MS;

#[test]
fn a_request_needs_exactly_one_final_response_in_time() {
    let late = 2 * S + GRACE;
    assert_eq!(
        audit(&[accepted(1, 0), responded(late, 1, RequestOutcome::Served)]),
        []
    );
    let found = audit(&[
        accepted(1, 0),
        responded(late + 1, 1, RequestOutcome::Served),
    ]);
    assert!(
        found
            .iter()
            .all(|f| f.0 == Rule::SingleResponse && f.1 == Some(1))
            && !found.is_empty()
    );
    assert_eq!(
        audit(&[accepted(1, 0)]),
        [(Rule::SingleResponse, Some(1), None, late)]
    );
    let twice = [
        accepted(1, 0),
        responded(S + 1, 1, RequestOutcome::Served),
        responded(S + 2, 1, RequestOutcome::Failed),
    ];
    assert_eq!(
        audit(&twice),
        [(Rule::SingleResponse, Some(1), None, S + 2)]
    );
    for outcome in [
        RequestOutcome::Mismatched,
        RequestOutcome::ConnectionLost,
        RequestOutcome::Unanswered,
    ] {
        let found = audit(&[accepted(1, 0), responded(S + 5, 1, outcome)]);
        assert_eq!(
            found,
            [(Rule::SingleResponse, Some(1), None, S + 5)],
            "{outcome:?}"
        );
    }
}

#[test]
fn a_disconnected_client_or_a_killed_sidecar_excuses_but_a_shutdown_does_not() {
    assert_eq!(
        audit(&[
            accepted(1, 0),
            (
                S + 1,
                LogEvent::ClientDisconnected {
                    request: RequestNumber::new(1)
                }
            )
        ]),
        []
    );
    let state = |state| sidecar_state(S + 2, 0, state);
    assert_eq!(
        audit(&[
            accepted(1, 0),
            state(ProcessState::Killed),
            responded(S + 3, 1, RequestOutcome::ConnectionLost)
        ]),
        []
    );
    assert_eq!(
        audit(&[
            accepted(1, 0),
            state(ProcessState::ShuttingDown),
            state(ProcessState::Exited)
        ])
        .len(),
        1
    );
    // A kill before it was accepted excuses nothing.
    let before = sidecar_state(S - 1, 0, ProcessState::Killed);
    assert_eq!(audit(&[before, accepted(1, 0)]).len(), 1);
}
