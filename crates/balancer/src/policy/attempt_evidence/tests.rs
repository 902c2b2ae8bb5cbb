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
fn timeout_is_slowness_where_the_server_has_served_others_since_the_send() {
    let mut fleet = fleet_with_an_attempt();
    fleet.servers[FIRST].failures.on_served(fleet.now);
    assert_eq!(evidence(&fleet, Outcome::TimedOut), AttemptEvidence::Slow);
}

#[test]
fn timeout_is_a_failure_where_the_server_has_served_none_or_is_suspected() {
    let mut fleet = fleet_with_an_attempt();
    assert_eq!(evidence(&fleet, Outcome::TimedOut), AttemptEvidence::Failed);
    fleet.servers[FIRST].failures.on_served(fleet.now);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(evidence(&fleet, Outcome::TimedOut), AttemptEvidence::Failed);
}

#[test]
fn rejection_is_no_failure_and_a_cancelled_attempt_tells_nothing() {
    let fleet = fleet_with_an_attempt();
    assert_eq!(
        evidence(&fleet, Outcome::Rejected),
        AttemptEvidence::Rejected
    );
    assert_eq!(
        evidence(&fleet, Outcome::Cancelled),
        AttemptEvidence::Nothing
    );
    assert_eq!(evidence(&fleet, Outcome::NotSent), AttemptEvidence::Nothing);
}

#[test]
fn errors_and_broken_connections_are_failures() {
    let fleet = fleet_with_an_attempt();
    for outcome in [Outcome::ServerError, Outcome::ConnectFailed, Outcome::Reset] {
        assert_eq!(
            evidence(&fleet, outcome),
            AttemptEvidence::Failed,
            "{outcome:?}"
        );
    }
}
