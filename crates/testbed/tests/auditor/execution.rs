//! Tests of the rule against duplicate execution.

use arrowstand_testbed::audit::Rule;
use arrowstand_testbed::event_log::RequestOutcome;

use super::{S, accepted, audit, received, rejected, responded};

#[test]
fn a_non_idempotent_request_is_received_again_only_after_a_rejection() {
    let end = responded(S + 90, 1, RequestOutcome::Served);
    let retried_after_rejection = [
        accepted(1, 1),
        received(S + 1, 1, 0),
        rejected(S + 1, 1, 0),
        received(S + 2, 1, 1),
        end,
    ];
    assert_eq!(audit(&retried_after_rejection), []);
    let received_twice = [
        accepted(1, 1),
        received(S + 1, 1, 0),
        received(S + 2, 1, 1),
        end,
    ];
    assert_eq!(
        audit(&received_twice),
        [(Rule::NoDuplicateExecution, Some(1), Some(1), S + 2)]
    );
    // The rule also holds for the same server, and after a rejection by another one.
    let received_twice_by_one_server = [
        accepted(1, 1),
        received(S + 1, 1, 0),
        rejected(S + 1, 1, 0),
        received(S + 2, 1, 1),
        received(S + 3, 1, 1),
    ];
    assert_eq!(
        audit(&received_twice_by_one_server)[0],
        (Rule::NoDuplicateExecution, Some(1), Some(1), S + 3)
    );
    // An idempotent request may be executed again.
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
fn an_idempotency_key_is_valid_within_its_zone_and_window() {
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
    let in_another_zone = audit(&[
        accepted(1, 2),
        received(S + 1, 1, 0),
        received(S + 2, 1, 2),
        end,
    ]);
    assert_eq!(
        in_another_zone,
        [(Rule::NoDuplicateExecution, Some(1), Some(2), S + 2)]
    );
    // If all servers share the keys, the zone does not matter, but the window does.
    assert_eq!(
        audit(&[
            accepted(1, 3),
            received(S + 1, 1, 0),
            received(S + 2, 1, 2),
            end
        ]),
        []
    );
    let at_end_of_window = [
        accepted(1, 3),
        received(S + 1, 1, 0),
        received(11 * S + 1, 1, 0),
        end,
    ];
    assert_eq!(
        audit(&at_end_of_window)
            .iter()
            .filter(|violation| violation.0 == Rule::NoDuplicateExecution)
            .count(),
        0
    );
    let after_window = [
        accepted(1, 3),
        received(S + 1, 1, 0),
        received(11 * S + 2, 1, 0),
        end,
    ];
    assert_eq!(
        audit(&after_window)
            .iter()
            .filter(|violation| violation.0 == Rule::NoDuplicateExecution)
            .count(),
        1
    );
}
