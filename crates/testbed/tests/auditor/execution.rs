//! Nothing that may have executed is executed again outside its class's idempotency.

use arrowstand_testbed::audit::Rule;
use arrowstand_testbed::event_log::RequestOutcome;

use super::{S, accepted, audit, received, rejected, responded};

#[test]
fn an_unsafe_request_is_received_again_only_after_a_rejection() {
    let end = responded(S + 90, 1, RequestOutcome::Served);
    let good = [
        accepted(1, 1),
        received(S + 1, 1, 0),
        rejected(S + 1, 1, 0),
        received(S + 2, 1, 1),
        end,
    ];
    assert_eq!(audit(&good), []);
    let bad = [
        accepted(1, 1),
        received(S + 1, 1, 0),
        received(S + 2, 1, 1),
        end,
    ];
    assert_eq!(
        audit(&bad),
        [(Rule::NoDuplicateExecution, Some(1), Some(1), S + 2)]
    );
    // Even at the same server, and even after it had been rejected once elsewhere.
    let bad = [
        accepted(1, 1),
        received(S + 1, 1, 0),
        rejected(S + 1, 1, 0),
        received(S + 2, 1, 1),
        received(S + 3, 1, 1),
    ];
    assert_eq!(
        audit(&bad)[0],
        (Rule::NoDuplicateExecution, Some(1), Some(1), S + 3)
    );
    assert_eq!(
        audit(&[
            accepted(1, 0),
            received(S + 1, 1, 0),
            received(S + 2, 1, 1),
            end
        ]),
        []
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of log records")]
fn an_idempotency_key_holds_in_its_zone_and_window() {
    let end = responded(S + 90, 1, RequestOutcome::Served);
    assert_eq!(
        audit(&[
            accepted(1, 2),
            received(S + 1, 1, 0),
            received(S + 2, 1, 1),
            end
        ]),
        []
    );
    let crossed = audit(&[
        accepted(1, 2),
        received(S + 1, 1, 0),
        received(S + 2, 1, 2),
        end,
    ]);
    assert_eq!(
        crossed,
        [(Rule::NoDuplicateExecution, Some(1), Some(2), S + 2)]
    );
    // Where all servers know the key, a zone does not matter, and the window does.
    assert_eq!(
        audit(&[
            accepted(1, 3),
            received(S + 1, 1, 0),
            received(S + 2, 1, 2),
            end
        ]),
        []
    );
    let late = [
        accepted(1, 3),
        received(S + 1, 1, 0),
        received(11 * S + 1, 1, 0),
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
        accepted(1, 3),
        received(S + 1, 1, 0),
        received(11 * S + 2, 1, 0),
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
