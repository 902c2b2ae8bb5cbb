use super::{CheckTarget, HealthChecker};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, MS, SECOND, arrive, eject, fleet, settings};
use crate::{EjectionCause, Micros, ServerId};

/// A fleet whose health checks cost this much, with a hundred requests in the last moment.
fn fleet_with_fee(health_check: f64) -> Fleet {
    let mut settings = settings();
    settings.fees.health_check = health_check;
    let mut fleet = fleet(settings, 4);
    arrive(&mut fleet, 100);
    fleet
}

/// The interval after a check that is made now, in milliseconds.
fn interval_ms(mut fleet: Fleet) -> Micros {
    let mut checker = HealthChecker::default();
    checker.next_target(&fleet);
    let started_at = fleet.now;
    while !checker.is_due(&fleet) {
        fleet.now += MS;
    }
    (fleet.now - started_at) / MS
}

#[test]
fn interval_grows_with_the_fee_from_one_to_five_seconds_and_shrinks_for_a_suspect() {
    assert_eq!(interval_ms(fleet_with_fee(0.0)), 1_000);
    // A hundred requests now are a rate of 13.9 a second; 0.04 / (0.001 * 13.9) is 2.9 s.
    let interval = interval_ms(fleet_with_fee(0.04));
    assert!((2_800..3_000).contains(&interval), "{interval}");
    assert_eq!(interval_ms(fleet_with_fee(1.0)), 5_000);
    let mut fleet = fleet_with_fee(0.0);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(interval_ms(fleet), 250);
}

#[test]
fn suspected_servers_and_servers_that_failed_take_turns() {
    let mut fleet = fleet_with_fee(0.0);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    let mut checker = HealthChecker::default();
    checker.check_soon(ServerId(1), fleet.now);
    let targets = [(); 3].map(|()| checker.next_target(&fleet));
    let expected = [FIRST, SECOND, FIRST].map(CheckTarget::Server);
    assert_eq!(targets, expected);
}

#[test]
fn suspected_server_that_waits_longest_comes_first_and_none_within_400_ms() {
    let mut fleet = fleet_with_fee(0.0);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    eject(&mut fleet, SECOND, EjectionCause::Attempts);
    let now = fleet.now;
    fleet.servers[FIRST].health_check.on_started(now);
    let first_target = |fleet: &Fleet| HealthChecker::default().next_target(fleet);
    assert_eq!(first_target(&fleet), CheckTarget::Server(SECOND));
    fleet.servers[SECOND].health_check.on_started(now);
    fleet.now += 399 * MS;
    assert_eq!(first_target(&fleet), CheckTarget::RandomCandidate);
    fleet.now += MS;
    assert_eq!(first_target(&fleet), CheckTarget::Server(FIRST));
}

#[test]
fn health_check_of_a_server_starts_only_where_none_is_in_progress() {
    let mut fleet = fleet_with_fee(0.0);
    let may_start =
        |fleet: &Fleet| HealthChecker::may_start(&fleet.settings, &fleet.servers[FIRST]);
    assert!(may_start(&fleet));
    fleet.servers[FIRST].health_check.on_started(1);
    assert!(!may_start(&fleet));
}
