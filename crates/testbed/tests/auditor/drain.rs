//! Tests of the rule against new attempts after the notification of a drain.

use arrowstand_testbed::audit::Rule;
use arrowstand_testbed::event_log::{ListedStatus, ProcessState};

use super::{S, audit, listed, sidecar_state, started};

#[test]
fn no_attempt_starts_later_than_two_seconds_after_a_drain_notification() {
    for status in [ListedStatus::Draining, ListedStatus::Gone] {
        assert_eq!(audit(&[listed(S, status, 0), started(3 * S, 0)]), []);
        let violations = audit(&[listed(S, status, 0), started(3 * S + 1, 0)]);
        assert_eq!(
            violations,
            [(Rule::NoAttemptAfterDrain, Some(1), Some(0), 3 * S + 1)]
        );
    }
    // A second notification does not restart the grace period.
    let notified_twice = [
        listed(S, ListedStatus::Draining, 0),
        listed(2 * S, ListedStatus::Gone, 0),
        started(3 * S + 1, 0),
    ];
    assert_eq!(audit(&notified_twice).len(), 1);
    // A restart of the server ends the drain.
    assert_eq!(
        audit(&[
            listed(S, ListedStatus::Gone, 0),
            listed(2 * S, ListedStatus::Ready, 2 * S),
            started(4 * S, 0)
        ]),
        []
    );
    // Another sidecar was not notified.
    assert_eq!(
        audit(&[listed(S, ListedStatus::Gone, 0), started(4 * S, 1)]),
        []
    );
    // The notifications before a sidecar's restart do not count.
    let killed = sidecar_state(2 * S, 0, ProcessState::Killed);
    assert_eq!(
        audit(&[listed(S, ListedStatus::Gone, 0), killed, started(4 * S, 0)]),
        []
    );
}
