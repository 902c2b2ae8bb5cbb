use super::HealthSignal;
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, MS, eject, fleet, send, settings};
use crate::{EjectionCause, Outcome};

/// One server with an attempt that was sent 10 ms ago.
fn fleet_with_an_attempt() -> Fleet {
    let mut fleet = fleet(settings(), 1);
    send(&mut fleet, FIRST, 1);
    fleet.now += 10 * MS;
    fleet
}

fn signal(fleet: &Fleet, outcome: Outcome) -> HealthSignal {
    let server = &fleet.servers[FIRST];
    HealthSignal::from_outcome(server, &server.in_flight()[0], outcome)
}

#[test]
fn timeout_is_slow_only_if_an_unsuspected_server_has_served_others_since_the_send() {
    let mut fleet = fleet_with_an_attempt();
    assert_eq!(signal(&fleet, Outcome::TimedOut), HealthSignal::Failed);
    fleet.servers[FIRST].failures.on_served(fleet.now);
    assert_eq!(signal(&fleet, Outcome::TimedOut), HealthSignal::Slow);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(signal(&fleet, Outcome::TimedOut), HealthSignal::Failed);
}

#[test]
fn rejected_attempt_is_no_failure_and_cancelled_or_unsent_attempt_is_inconclusive() {
    let fleet = fleet_with_an_attempt();
    let table = [
        (Outcome::Served, HealthSignal::Served),
        (Outcome::Rejected, HealthSignal::Rejected),
        (Outcome::Cancelled, HealthSignal::Inconclusive),
        (Outcome::NotSent, HealthSignal::Inconclusive),
        (Outcome::ServerError, HealthSignal::Failed),
        (Outcome::ConnectFailed, HealthSignal::Failed),
        (Outcome::Reset, HealthSignal::Failed),
    ];
    for (outcome, expected) in table {
        assert_eq!(signal(&fleet, outcome), expected, "{outcome:?}");
    }
}
