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

/// A fleet whose first server failed a health check 150 ms ago.
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
fn second_failed_health_check_ejects_without_peers() {
    let mut fleet = fleet_with_a_failed_check(settings());
    assert_eq!(evaluate_server(&fleet), HealthAction::CheckAgain);
    let now = fleet.now;
    fleet.servers[FIRST].health_check.end_due_confirmation(now);
    let expected = eject_for_health_checks(SuspicionScope::Local);
    assert_eq!(evaluate_failed_check(&fleet), expected);
}

#[test]
fn ejection_is_gossiped_unless_another_balancer_reached_the_server() {
    let mut fleet = fleet_with_a_failed_check(settings_with_peers());
    let gossiped = eject_for_health_checks(SuspicionScope::AllBalancers);
    assert_eq!(evaluate_server(&fleet), gossiped);
    fleet.servers[FIRST].health_check.on_confirmed_alive();
    assert_eq!(
        evaluate_server(&fleet),
        eject_for_health_checks(SuspicionScope::Local)
    );
}

#[test]
fn attempts_without_a_response_eject_once_the_latency_is_improbable() {
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
fn two_consecutive_failures_eject_if_the_fleet_error_rate_is_low() {
    let mut detector = detector();
    assert_eq!(
        detector.on_attempt_failed(1, Outcome::Reset),
        HealthAction::NoAction
    );
    // The first failure raises the fleet's error rate to 2 %; served attempts lower it again.
    assert_eq!(
        detector.on_attempt_failed(2, Outcome::Reset),
        HealthAction::NoAction
    );
    (0..30).for_each(|_| detector.on_served());
    let second = detector.on_attempt_failed(2, Outcome::Reset);
    assert_eq!(second, EJECT_FOR_ATTEMPTS);
}

#[test]
fn consecutive_timeouts_do_not_eject_as_failures() {
    let action = detector().on_attempt_failed(100, Outcome::TimedOut);
    assert_eq!(action, HealthAction::NoAction);
}

#[test]
fn suspected_server_is_declared_dead_once_after_8_s() {
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
fn successful_check_ends_a_suspicion_raised_by_attempts_only_after_its_ejection_time() {
    let mut fleet = fleet(settings(), 4);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    let action =
        |now, server| FailureDetector::evaluate_successful_check(now, &fleet.servers[server]);
    assert_eq!(action(fleet.now, FIRST), HealthAction::NoAction);
    assert_eq!(action(fleet.now + 8_000 * MS, FIRST), HealthAction::Readmit);
    assert_eq!(action(fleet.now, SECOND), HealthAction::NoAction);
}

#[test]
fn suspicion_ends_after_its_ejection_time_if_the_host_has_no_health_checks() {
    let mut fleet = fleet(settings(), 4);
    fleet.settings.host.health_checks = false;
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(evaluate_server(&fleet), HealthAction::NoAction);
    fleet.now += 8_000 * MS;
    fleet.servers[FIRST].suspicion.on_declared_dead();
    assert_eq!(evaluate_server(&fleet), HealthAction::Readmit);
}

#[test]
fn gossip_is_ignored_for_an_older_incarnation_or_a_server_that_served_recently() {
    let mut fleet = fleet(settings(), 4);
    let action = |fleet: &Fleet, incarnation| {
        FailureDetector::evaluate_gossip(fleet.now, &fleet.servers[FIRST], incarnation)
    };
    let ejected = HealthAction::Eject {
        cause: EjectionCause::Gossip,
        scope: SuspicionScope::AllBalancers,
    };
    assert_eq!(action(&fleet, 0), ejected);
    fleet.servers[FIRST].failures.on_served(fleet.now);
    assert_eq!(action(&fleet, 0), HealthAction::ExpediteCheck);
    fleet.now += 500 * MS;
    assert_eq!(action(&fleet, 0), ejected);
    let mut restarted = *fleet.servers[FIRST].endpoint();
    restarted.incarnation = Some(5);
    fleet.servers[FIRST].on_listed(restarted);
    assert_eq!(action(&fleet, 4), HealthAction::NoAction);
}
