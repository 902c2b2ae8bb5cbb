//! Tests of the rule against rejecting a request that may have executed.

use arrowstand_testbed::audit::Rule;
use arrowstand_testbed::event_log::RequestOutcome;

use super::{S, accepted, audit, received, rejected, responded};

#[test]
fn a_request_that_may_have_executed_is_not_rejected() {
    for (class, may_reject) in [(0, true), (1, false), (2, false), (3, true)] {
        let violations = audit(&[
            accepted(1, class),
            received(S + 1, 1, 0),
            responded(S + 2, 1, RequestOutcome::Rejected),
        ]);
        let expected = if may_reject {
            vec![]
        } else {
            vec![(Rule::NoRejectionAfterExecution, Some(1), None, S + 2)]
        };
        assert_eq!(violations, expected, "class {class}");
    }
    let rejected_by_server = [
        accepted(1, 1),
        received(S + 1, 1, 0),
        rejected(S + 1, 1, 0),
        responded(S + 2, 1, RequestOutcome::Rejected),
    ];
    assert_eq!(audit(&rejected_by_server), []);
    let received_after_rejection = [
        accepted(1, 1),
        responded(S + 1, 1, RequestOutcome::Rejected),
        received(S + 2, 1, 0),
    ];
    assert_eq!(
        audit(&received_after_rejection),
        [(Rule::NoRejectionAfterExecution, Some(1), Some(0), S + 2)]
    );
}
