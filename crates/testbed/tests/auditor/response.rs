//! Tests of the rule that each request gets one final response in time.

use arrowstand_testbed::audit::Rule;
use arrowstand_testbed::event_log::{LogEvent, ProcessState, RequestOutcome};
use arrowstand_testbed::index::RequestNumber;
use arrowstand_testbed::scenario::Micros;

use super::{MS, S, accepted, audit, responded, sidecar_state};

/// Time after a request's deadline in which its response may still arrive.
const RESPONSE_GRACE: Micros = 20 * MS;

#[test]
fn a_request_needs_exactly_one_final_response_in_time() {
    let latest = 2 * S + RESPONSE_GRACE;
    assert_eq!(
        audit(&[accepted(1, 0), responded(latest, 1, RequestOutcome::Served)]),
        []
    );
    let violations = audit(&[
        accepted(1, 0),
        responded(latest + 1, 1, RequestOutcome::Served),
    ]);
    assert!(
        violations
            .iter()
            .all(|violation| violation.0 == Rule::SingleResponse && violation.1 == Some(1))
            && !violations.is_empty()
    );
    assert_eq!(
        audit(&[accepted(1, 0)]),
        [(Rule::SingleResponse, Some(1), None, latest)]
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
        let violations = audit(&[accepted(1, 0), responded(S + 5, 1, outcome)]);
        assert_eq!(
            violations,
            [(Rule::SingleResponse, Some(1), None, S + 5)],
            "{outcome:?}"
        );
    }
}

#[test]
fn a_client_disconnect_or_a_sidecar_kill_waives_the_response_but_a_shutdown_does_not() {
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
    // A kill before the request was accepted does not waive the response.
    let killed_before = sidecar_state(S - 1, 0, ProcessState::Killed);
    assert_eq!(audit(&[killed_before, accepted(1, 0)]).len(), 1);
}
