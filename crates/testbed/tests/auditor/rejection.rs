//! Nothing is rejected that may have executed, where a retry is not harmless.

use arrowstand_testbed::audit::Rule;
use arrowstand_testbed::event_log::RequestOutcome;

use super::{S, accepted, audit, received, rejected, responded};

#[test]
fn what_may_have_executed_is_not_rejected() {
    for (class, honest) in [(0, true), (1, false), (2, false), (3, true)] {
        let found = audit(&[
            accepted(1, class),
            received(S + 1, 1, 0),
            responded(S + 2, 1, RequestOutcome::Rejected),
        ]);
        let wanted = if honest {
            vec![]
        } else {
            vec![(Rule::NoRejectionAfterExecution, Some(1), None, S + 2)]
        };
        assert_eq!(found, wanted, "class {class}");
    }
    let rejected_first = [
        accepted(1, 1),
        received(S + 1, 1, 0),
        rejected(S + 1, 1, 0),
        responded(S + 2, 1, RequestOutcome::Rejected),
    ];
    assert_eq!(audit(&rejected_first), []);
    let after = [
        accepted(1, 1),
        responded(S + 1, 1, RequestOutcome::Rejected),
        received(S + 2, 1, 0),
    ];
    assert_eq!(
        audit(&after),
        [(Rule::NoRejectionAfterExecution, Some(1), Some(0), S + 2)]
    );
}
