use super::{Audience, FailureDetector, Verdict};
use crate::fleet::Fleet;
use crate::policy::test_support::{
    FIRST, MS, SECOND, eject, fleet, send, settings, settings_with_peers,
};
use crate::{EjectionCause, HostCapabilities, Outcome, Settings};

fn detector(fleet: &Fleet) -> FailureDetector {
    FailureDetector::new(fleet.settings.shortest_objective())
}

fn review(fleet: &Fleet) -> Verdict {
    detector(fleet).review(fleet, &fleet.servers[FIRST])
}

/// A fleet whose first server has failed a health check.
fn fleet_with_a_failed_check(settings: Settings) -> Fleet {
    let mut fleet = fleet(settings, 4);
    let verdict = FailureDetector::judge_failed_check(&fleet, &fleet.servers[FIRST]);
    let Verdict::ConfirmAt(at) = verdict else {
        panic!("{verdict:?}");
    };
    let health_check = &mut fleet.servers[FIRST].health_check;
    health_check.on_failed();
    health_check.on_confirmation_scheduled(at);
    fleet
}

#[test]
fn second_failed_health_check_raises_a_suspicion() {
    let mut fleet = fleet_with_a_failed_check(settings());
    fleet.now += 150 * MS;
    assert_eq!(review(&fleet), Verdict::CheckAgain);
    fleet.servers[FIRST]
        .health_check
        .end_due_confirmation(fleet.now);
    let verdict = FailureDetector::judge_failed_check(&fleet, &fleet.servers[FIRST]);
    let expected = Verdict::Eject {
        cause: EjectionCause::HealthChecks,
        audience: Audience::Local,
    };
    assert_eq!(verdict, expected);
}

#[test]
fn failed_check_that_no_other_balancer_confirms_in_time_is_announced_to_all() {
    let mut fleet = fleet_with_a_failed_check(settings_with_peers());
    fleet.now += 149 * MS;
    assert_eq!(review(&fleet), Verdict::Keep);
    fleet.now += MS;
    let expected = Verdict::Eject {
        cause: EjectionCause::HealthChecks,
        audience: Audience::AllBalancers,
    };
    assert_eq!(review(&fleet), expected);
}

#[test]
fn server_that_answered_another_balancer_is_suspected_by_this_one_alone() {
    let mut fleet = fleet_with_a_failed_check(settings_with_peers());
    fleet.servers[FIRST].health_check.on_confirmed_alive();
    fleet.now += 150 * MS;
    let expected = Verdict::Eject {
        cause: EjectionCause::HealthChecks,
        audience: Audience::Local,
    };
    assert_eq!(review(&fleet), expected);
}

#[test]
fn attempts_that_are_silent_for_longer_than_latencies_explain_raise_a_suspicion() {
    let mut fleet = fleet(settings(), 4);
    send(&mut fleet, FIRST, 1);
    send(&mut fleet, SECOND, 2);
    let mut detector = detector(&fleet);
    (0..200).for_each(|_| detector.on_response(20_000.0));
    let verdict = |fleet: &Fleet| detector.review(fleet, &fleet.servers[FIRST]);
    fleet.now += 30 * MS;
    assert_eq!(verdict(&fleet), Verdict::Keep);
    fleet.now += 400 * MS;
    let expected = Verdict::Eject {
        cause: EjectionCause::Attempts,
        audience: Audience::Local,
    };
    assert_eq!(verdict(&fleet), expected);
}

#[test]
fn two_failures_in_a_row_raise_a_suspicion_where_failures_are_rare() {
    let fleet = fleet(settings(), 4);
    let mut detector = detector(&fleet);
    assert_eq!(detector.on_attempt_failed(1, Outcome::Reset), Verdict::Keep);
    // The first failure counts for 2 % of the fleet's attempts, until other servers have served.
    assert_eq!(detector.on_attempt_failed(2, Outcome::Reset), Verdict::Keep);
    (0..30).for_each(|_| detector.on_served());
    let expected = Verdict::Eject {
        cause: EjectionCause::Attempts,
        audience: Audience::Local,
    };
    assert_eq!(detector.on_attempt_failed(2, Outcome::Reset), expected);
}

#[test]
fn timeouts_in_a_row_are_left_to_the_silence_of_the_attempts() {
    let fleet = fleet(settings(), 4);
    let mut detector = detector(&fleet);
    let verdict = detector.on_attempt_failed(100, Outcome::TimedOut);
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
    let verdict = |now| FailureDetector::judge_succeeded_check(now, &fleet.servers[FIRST]);
    assert_eq!(verdict(fleet.now), Verdict::Keep);
    assert_eq!(verdict(fleet.now + 8_000 * MS), Verdict::Readmit);
    let sound = &fleet.servers[SECOND];
    assert_eq!(
        FailureDetector::judge_succeeded_check(fleet.now, sound),
        Verdict::Keep
    );
}

#[test]
fn suspicion_ends_by_itself_where_the_host_cannot_check_health() {
    let host = HostCapabilities {
        health_checks: false,
        ..HostCapabilities::default()
    };
    let mut fleet = fleet(Settings { host, ..settings() }, 4);
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
    assert!(matches!(verdict(&fleet, 0), Verdict::Eject { .. }));
    fleet.servers[FIRST].failures.on_served(fleet.now);
    assert_eq!(verdict(&fleet, 0), Verdict::CheckSoon);
    fleet.now += 500 * MS;
    assert!(matches!(verdict(&fleet, 0), Verdict::Eject { .. }));
}
