use super::{Audience, FailureDetector, Verdict};
use crate::fleet::Fleet;
use crate::policy::test_support::{
    FIRST, MS, SECOND, eject, fleet, send, settings, settings_with_peers,
};
use crate::{EjectionCause, Outcome, Settings};

const EJECT_FOR_ATTEMPTS: Verdict = Verdict::Eject {
    cause: EjectionCause::Attempts,
    audience: Audience::Local,
};

fn eject_for_health_checks(audience: Audience) -> Verdict {
    let cause = EjectionCause::HealthChecks;
    Verdict::Eject { cause, audience }
}

fn detector() -> FailureDetector {
    FailureDetector::new(settings().shortest_objective())
}

fn review(fleet: &Fleet) -> Verdict {
    detector().review(fleet, &fleet.servers[FIRST])
}

fn judge_failed_check(fleet: &Fleet) -> Verdict {
    FailureDetector::judge_failed_check(fleet, &fleet.servers[FIRST])
}

/// A fleet whose first server has failed a health check 150 ms ago.
fn fleet_with_a_failed_check(settings: Settings) -> Fleet {
    let mut fleet = fleet(settings, 4);
    let confirm_at = fleet.now + 150 * MS;
    assert_eq!(judge_failed_check(&fleet), Verdict::ConfirmAt(confirm_at));
    let health_check = &mut fleet.servers[FIRST].health_check;
    health_check.on_failed();
    health_check.on_confirmation_scheduled(confirm_at);
    assert_eq!(review(&fleet), Verdict::Keep);
    fleet.now = confirm_at;
    fleet
}

#[test]
fn second_failed_health_check_raises_a_suspicion() {
    let mut fleet = fleet_with_a_failed_check(settings());
    assert_eq!(review(&fleet), Verdict::CheckAgain);
    let now = fleet.now;
    fleet.servers[FIRST].health_check.end_due_confirmation(now);
    let expected = eject_for_health_checks(Audience::Local);
    assert_eq!(judge_failed_check(&fleet), expected);
}

#[test]
fn failed_check_is_announced_unless_another_balancer_reached_the_server() {
    let mut fleet = fleet_with_a_failed_check(settings_with_peers());
    let announced = eject_for_health_checks(Audience::AllBalancers);
    assert_eq!(review(&fleet), announced);
    fleet.servers[FIRST].health_check.on_confirmed_alive();
    assert_eq!(review(&fleet), eject_for_health_checks(Audience::Local));
}

#[test]
fn attempts_that_are_silent_for_longer_than_latencies_explain_raise_a_suspicion() {
    let mut fleet = fleet(settings(), 4);
    send(&mut fleet, FIRST, 1);
    let mut detector = detector();
    (0..200).for_each(|_| detector.on_response(20_000.0));
    let verdict = |fleet: &Fleet| detector.review(fleet, &fleet.servers[FIRST]);
    fleet.now += 30 * MS;
    assert_eq!(verdict(&fleet), Verdict::Keep);
    fleet.now += 400 * MS;
    assert_eq!(verdict(&fleet), EJECT_FOR_ATTEMPTS);
}

#[test]
fn two_failures_in_a_row_raise_a_suspicion_where_failures_are_rare() {
    let mut detector = detector();
    assert_eq!(detector.on_attempt_failed(1, Outcome::Reset), Verdict::Keep);
    // The first failure counts for 2 % of the fleet's attempts, until other servers have served.
    assert_eq!(detector.on_attempt_failed(2, Outcome::Reset), Verdict::Keep);
    (0..30).for_each(|_| detector.on_served());
    let second = detector.on_attempt_failed(2, Outcome::Reset);
    assert_eq!(second, EJECT_FOR_ATTEMPTS);
}

#[test]
fn timeouts_in_a_row_are_left_to_the_silence_of_the_attempts() {
    let verdict = detector().on_attempt_failed(100, Outcome::TimedOut);
    assert_eq!(verdict, Verdict::Keep);
}

#[test]
fn suspected_server_is_declared_dead_once_after_8_seconds() {
    let mut fleet = fleet(settings(), 4);
    eject(&mut fleet, FIRST, EjectionCause::HealthChecks);
    fleet.now += 7_999 * MS;
    assert_eq!(review(&fleet), Verdict::Keep);
    fleet.now += MS;
    assert_eq!(review(&fleet), Verdict::DeclareDead);
    fleet.servers[FIRST].suspicion.on_declared_dead();
    assert_eq!(review(&fleet), Verdict::Keep);
}

#[test]
fn good_health_check_ends_a_suspicion_that_attempts_raised_only_after_its_ejection_time() {
    let mut fleet = fleet(settings(), 4);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    let verdict = |now, server| FailureDetector::judge_succeeded_check(now, &fleet.servers[server]);
    assert_eq!(verdict(fleet.now, FIRST), Verdict::Keep);
    assert_eq!(verdict(fleet.now + 8_000 * MS, FIRST), Verdict::Readmit);
    assert_eq!(verdict(fleet.now, SECOND), Verdict::Keep);
}

#[test]
fn suspicion_ends_by_itself_where_the_host_cannot_check_health() {
    let mut fleet = fleet(settings(), 4);
    fleet.settings.host.health_checks = false;
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(review(&fleet), Verdict::Keep);
    fleet.now += 8_000 * MS;
    fleet.servers[FIRST].suspicion.on_declared_dead();
    assert_eq!(review(&fleet), Verdict::Readmit);
}

#[test]
fn gossip_about_an_older_incarnation_or_a_server_that_has_just_served_is_not_followed() {
    let mut fleet = fleet(settings(), 4);
    let verdict = |fleet: &Fleet, incarnation| {
        FailureDetector::judge_gossip(fleet.now, &fleet.servers[FIRST], incarnation)
    };
    let followed = Verdict::Eject {
        cause: EjectionCause::Gossip,
        audience: Audience::AllBalancers,
    };
    assert_eq!(verdict(&fleet, 0), followed);
    fleet.servers[FIRST].failures.on_served(fleet.now);
    assert_eq!(verdict(&fleet, 0), Verdict::CheckSoon);
    fleet.now += 500 * MS;
    assert_eq!(verdict(&fleet, 0), followed);
    let mut restarted = *fleet.servers[FIRST].endpoint();
    restarted.incarnation = Some(5);
    fleet.servers[FIRST].on_listed(restarted);
    assert_eq!(verdict(&fleet, 4), Verdict::Keep);
}
