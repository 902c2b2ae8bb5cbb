use super::AttemptEvidence;
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, MS, eject, fleet, send, settings};
use crate::{EjectionCause, Outcome};

/// A server with an attempt in flight, sent 10 ms ago.
fn fleet_with_an_attempt() -> Fleet {
    let mut fleet = fleet(settings(), 1);
    send(&mut fleet, FIRST, 1);
    fleet.now += 10 * MS;
    fleet
}

fn evidence(fleet: &Fleet, outcome: Outcome) -> AttemptEvidence {
    let server = &fleet.servers[FIRST];
    AttemptEvidence::of(server, &server.in_flight()[0], outcome)
}

#[test]
fn timeout_is_slowness_only_at_a_trusted_server_that_has_served_others_since_the_send() {
    let mut fleet = fleet_with_an_attempt();
    assert_eq!(evidence(&fleet, Outcome::TimedOut), AttemptEvidence::Failed);
    fleet.servers[FIRST].failures.on_served(fleet.now);
    assert_eq!(evidence(&fleet, Outcome::TimedOut), AttemptEvidence::Slow);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(evidence(&fleet, Outcome::TimedOut), AttemptEvidence::Failed);
}

#[test]
fn rejection_is_no_failure_and_an_attempt_that_was_cancelled_or_not_sent_tells_nothing() {
    let fleet = fleet_with_an_attempt();
    let table = [
        (Outcome::Served, AttemptEvidence::Served),
        (Outcome::Rejected, AttemptEvidence::Rejected),
        (Outcome::Cancelled, AttemptEvidence::Nothing),
        (Outcome::NotSent, AttemptEvidence::Nothing),
        (Outcome::ServerError, AttemptEvidence::Failed),
        (Outcome::ConnectFailed, AttemptEvidence::Failed),
        (Outcome::Reset, AttemptEvidence::Failed),
    ];
    for (outcome, expected) in table {
        assert_eq!(evidence(&fleet, outcome), expected, "{outcome:?}");
    }
}
