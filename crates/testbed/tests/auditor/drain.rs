//! Nothing new to a server after its drain was notified.

use arrowstand_testbed::audit::Rule;
use arrowstand_testbed::event_log::{ListedStatus, ProcessState};

use super::{S, audit, listed, sidecar_state, started};

#[test]
fn no_attempt_starts_two_seconds_after_a_drain_notification() {
    for out in [ListedStatus::Draining, ListedStatus::Gone] {
        assert_eq!(audit(&[listed(S, out, 0), started(3 * S, 0)]), []);
        let found = audit(&[listed(S, out, 0), started(3 * S + 1, 0)]);
        assert_eq!(
            found,
            [(Rule::NoAttemptAfterDrain, Some(1), Some(0), 3 * S + 1)]
        );
    }
    // A second notification does not start the time anew; a new start ends the drain; other
    // sidecars were not notified.
    let again = [
        listed(S, ListedStatus::Draining, 0),
        listed(2 * S, ListedStatus::Gone, 0),
        started(3 * S + 1, 0),
    ];
    assert_eq!(audit(&again).len(), 1);
    assert_eq!(
        audit(&[
            listed(S, ListedStatus::Gone, 0),
            listed(2 * S, ListedStatus::Ready, 2 * S),
            started(4 * S, 0)
        ]),
        []
    );
    assert_eq!(
        audit(&[listed(S, ListedStatus::Gone, 0), started(4 * S, 1)]),
        []
    );
    // A restarted sidecar knows only what it is notified of since.
    let restart = sidecar_state(2 * S, 0, ProcessState::Killed);
    assert_eq!(
        audit(&[listed(S, ListedStatus::Gone, 0), restart, started(4 * S, 0)]),
        []
    );
}
