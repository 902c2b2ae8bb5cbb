use super::{CheckTarget, HealthChecker};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, MS, SECOND, eject, fleet, record_arrivals, settings};
use crate::{EjectionCause, Micros, ServerId};

/// A fleet with this cost per health check, and a hundred requests that arrived just now.
fn fleet_with_check_cost(health_check: f64) -> Fleet {
    let mut settings = settings();
    settings.fees.health_check = health_check;
    let mut fleet = fleet(settings, 4);
    record_arrivals(&mut fleet, 100);
    fleet
}

/// The time from a check now until the next one is due, in milliseconds.
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
fn interval_grows_with_the_cost_from_1_to_5_s_and_is_quartered_while_a_server_is_suspected() {
    assert_eq!(interval_ms(fleet_with_check_cost(0.0)), 1_000);
    // 100 requests at one instant count as 13.9 requests/s; 0.04 / (0.001 * 13.9) is 2.9 s.
    let interval = interval_ms(fleet_with_check_cost(0.04));
    assert!((2_800..3_000).contains(&interval), "{interval}");
    assert_eq!(interval_ms(fleet_with_check_cost(1.0)), 5_000);
    let mut fleet = fleet_with_check_cost(0.0);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(interval_ms(fleet), 250);
}

#[test]
fn checks_alternate_between_suspected_servers_and_the_queue() {
    let mut fleet = fleet_with_check_cost(0.0);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    let mut checker = HealthChecker::default();
    checker.expedite(ServerId(1), fleet.now);
    let targets = [(); 3].map(|()| checker.next_target(&fleet));
    let expected = [FIRST, SECOND, FIRST].map(CheckTarget::Server);
    assert_eq!(targets, expected);
}

#[test]
fn suspected_server_with_the_oldest_check_is_first_and_none_is_rechecked_within_400_ms() {
    let mut fleet = fleet_with_check_cost(0.0);
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
fn health_check_starts_only_if_none_is_in_progress() {
    let mut fleet = fleet_with_check_cost(0.0);
    let may_start =
        |fleet: &Fleet| HealthChecker::may_start(&fleet.settings, &fleet.servers[FIRST]);
    assert!(may_start(&fleet));
    fleet.servers[FIRST].health_check.on_started(1);
    assert!(!may_start(&fleet));
}
