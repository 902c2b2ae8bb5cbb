use super::{Admission, SlowStartAdmission};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, MS, SECOND, fleet, restart, send, settings};

/// Two servers, the first one just started with a quarter of its capacity.
fn fleet_with_a_cold_server() -> Fleet {
    let mut settings = settings();
    settings.slow_start.initial_capacity = 0.25;
    let mut fleet = fleet(settings, 2);
    restart(&mut fleet, FIRST);
    fleet
}

#[test]
fn warm_server_is_admitted_without_a_draw() {
    let mut fleet = fleet_with_a_cold_server();
    let mut rng = fastrand::Rng::with_seed(1);
    let admission = SlowStartAdmission::new();
    let never_cold = admission.admit(&fleet, &fleet.servers[SECOND], &mut rng);
    fleet.now += fleet.settings.slow_start.duration;
    let warmed_up = admission.admit(&fleet, &fleet.servers[FIRST], &mut rng);
    assert_eq!([never_cold, warmed_up], [Admission::Warm; 2]);
    assert_eq!(rng, fastrand::Rng::with_seed(1));
}

#[test]
fn cold_server_takes_part_in_its_share_of_the_draws() {
    let fleet = fleet_with_a_cold_server();
    let mut rng = fastrand::Rng::with_seed(1);
    let admission = SlowStartAdmission::new();
    let admitted = (0..4_000)
        .map(|_| admission.admit(&fleet, &fleet.servers[FIRST], &mut rng))
        .filter(|decision| *decision == Admission::Admitted)
        .count();
    assert!((900..1_100).contains(&admitted), "{admitted}");
}

#[test]
fn cold_server_is_bounded_within_the_overload_window_by_what_a_warm_one_gets() {
    let mut fleet = fleet_with_a_cold_server();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut admission = SlowStartAdmission::new();
    send(&mut fleet, FIRST, 1);
    // Nothing is known of what a warm server gets, so that one request fills the bound.
    let decision = admission.admit(&fleet, &fleet.servers[FIRST], &mut rng);
    assert_eq!(decision, Admission::OverQuota);
    for _ in 0..1_000 {
        fleet.now += MS;
        admission.on_work_sent(&fleet, 1.0);
    }
    admission.on_tick(&fleet, [SECOND].into_iter());
    let decision = admission.admit(&fleet, &fleet.servers[FIRST], &mut rng);
    assert_ne!(decision, Admission::OverQuota);
}
