use super::{FailureDetector, HealthAction, SuspicionScope};
use crate::fleet::Fleet;
use crate::policy::test_support::{
    FIRST, MS, SECOND, eject, fleet, send, settings, settings_with_peers,
};
use crate::{EjectionCause, Outcome, Settings};

const EJECT_FOR_ATTEMPTS: HealthAction = HealthAction::Eject {
    cause: EjectionCause::Attempts,
    scope: SuspicionScope::Local,
};

fn eject_for_health_checks(scope: SuspicionScope) -> HealthAction {
    let cause = EjectionCause::HealthChecks;
    HealthAction::Eject { cause, scope }
}

fn detector() -> FailureDetector {
    FailureDetector::new(settings().shortest_objective())
}

fn evaluate_server(fleet: &Fleet) -> HealthAction {
    detector().evaluate_server(fleet, &fleet.servers[FIRST])
}

fn evaluate_failed_check(fleet: &Fleet) -> HealthAction {
    FailureDetector::evaluate_failed_check(fleet, &fleet.servers[FIRST])
}

/// A fleet whose first server has failed a health check 150 ms ago.
fn fleet_with_a_failed_check(settings: Settings) -> Fleet {
    let mut fleet = fleet(settings, 4);
    let confirm_at = fleet.now + 150 * MS;
    assert_eq!(
        evaluate_failed_check(&fleet),
        HealthAction::ConfirmAt(confirm_at)
    );
    let health_check = &mut fleet.servers[FIRST].health_check;
    health_check.on_failed();
    health_check.on_confirmation_scheduled(confirm_at);
    assert_eq!(evaluate_server(&fleet), HealthAction::NoAction);
    fleet.now = confirm_at;
    fleet
}

#[test]
fn second_failed_health_check_raises_a_suspicion() {
    let mut fleet = fleet_with_a_failed_check(settings());
    assert_eq!(evaluate_server(&fleet), HealthAction::CheckAgain);
    let now = fleet.now;
    fleet.servers[FIRST].health_check.end_due_confirmation(now);
    let expected = eject_for_health_checks(SuspicionScope::Local);
    assert_eq!(evaluate_failed_check(&fleet), expected);
}

#[test]
fn failed_check_is_announced_unless_another_balancer_reached_the_server() {
    let mut fleet = fleet_with_a_failed_check(settings_with_peers());
    let announced = eject_for_health_checks(SuspicionScope::AllBalancers);
    assert_eq!(evaluate_server(&fleet), announced);
    fleet.servers[FIRST].health_check.on_confirmed_alive();
    assert_eq!(
        evaluate_server(&fleet),
        eject_for_health_checks(SuspicionScope::Local)
    );
}

#[test]
fn attempts_that_are_silent_for_longer_than_latencies_explain_raise_a_suspicion() {
    let mut fleet = fleet(settings(), 4);
    send(&mut fleet, FIRST, 1);
    let mut detector = detector();
    (0..200).for_each(|_| detector.on_response(20_000.0));
    let action = |fleet: &Fleet| detector.evaluate_server(fleet, &fleet.servers[FIRST]);
    fleet.now += 30 * MS;
    assert_eq!(action(&fleet), HealthAction::NoAction);
    fleet.now += 400 * MS;
    assert_eq!(action(&fleet), EJECT_FOR_ATTEMPTS);
}

#[test]
fn two_failures_in_a_row_raise_a_suspicion_where_failures_are_rare() {
    let mut detector = detector();
    assert_eq!(
        detector.on_attempt_failed(1, Outcome::Reset),
        HealthAction::NoAction
    );
    // The first failure counts for 2 % of the fleet's attempts, until other servers have served.
    assert_eq!(
        detector.on_attempt_failed(2, Outcome::Reset),
        HealthAction::NoAction
    );
    (0..30).for_each(|_| detector.on_served());
    let second = detector.on_attempt_failed(2, Outcome::Reset);
    assert_eq!(second, EJECT_FOR_ATTEMPTS);
}

#[test]
fn timeouts_in_a_row_are_left_to_the_silence_of_the_attempts() {
    let action = detector().on_attempt_failed(100, Outcome::TimedOut);
    assert_eq!(action, HealthAction::NoAction);
}

#[test]
fn suspected_server_is_declared_dead_once_after_8_seconds() {
    let mut fleet = fleet(settings(), 4);
    eject(&mut fleet, FIRST, EjectionCause::HealthChecks);
    fleet.now += 7_999 * MS;
    assert_eq!(evaluate_server(&fleet), HealthAction::NoAction);
    fleet.now += MS;
    assert_eq!(evaluate_server(&fleet), HealthAction::DeclareDead);
    fleet.servers[FIRST].suspicion.on_declared_dead();
    assert_eq!(evaluate_server(&fleet), HealthAction::NoAction);
}

#[test]
fn good_health_check_ends_a_suspicion_that_attempts_raised_only_after_its_ejection_time() {
    let mut fleet = fleet(settings(), 4);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    let action =
        |now, server| FailureDetector::evaluate_successful_check(now, &fleet.servers[server]);
    assert_eq!(action(fleet.now, FIRST), HealthAction::NoAction);
    assert_eq!(action(fleet.now + 8_000 * MS, FIRST), HealthAction::Readmit);
    assert_eq!(action(fleet.now, SECOND), HealthAction::NoAction);
}

#[test]
fn suspicion_ends_by_itself_where_the_host_cannot_check_health() {
    let mut fleet = fleet(settings(), 4);
    fleet.settings.host.health_checks = false;
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(evaluate_server(&fleet), HealthAction::NoAction);
    fleet.now += 8_000 * MS;
    fleet.servers[FIRST].suspicion.on_declared_dead();
    assert_eq!(evaluate_server(&fleet), HealthAction::Readmit);
}

#[test]
fn gossip_about_an_older_incarnation_or_a_server_that_has_just_served_is_not_followed() {
    let mut fleet = fleet(settings(), 4);
    let action = |fleet: &Fleet, incarnation| {
        FailureDetector::evaluate_gossip(fleet.now, &fleet.servers[FIRST], incarnation)
    };
    let followed = HealthAction::Eject {
        cause: EjectionCause::Gossip,
        scope: SuspicionScope::AllBalancers,
    };
    assert_eq!(action(&fleet, 0), followed);
    fleet.servers[FIRST].failures.on_served(fleet.now);
    assert_eq!(action(&fleet, 0), HealthAction::CheckSoon);
    fleet.now += 500 * MS;
    assert_eq!(action(&fleet, 0), followed);
    let mut restarted = *fleet.servers[FIRST].endpoint();
    restarted.incarnation = Some(5);
    fleet.servers[FIRST].on_listed(restarted);
    assert_eq!(action(&fleet, 4), HealthAction::NoAction);
}
