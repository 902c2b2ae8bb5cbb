use super::{Admission, SlowStartAdmission};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, MS, SECOND, fleet, restart, send, settings};
use crate::{Settings, SlowStartSettings};

/// Two servers, the first one just started with a quarter of its capacity.
fn fleet_with_a_cold_server() -> Fleet {
    let slow_start = SlowStartSettings {
        initial_capacity: 0.25,
        ..SlowStartSettings::default()
    };
    let mut fleet = fleet(
        Settings {
            slow_start,
            ..settings()
        },
        2,
    );
    restart(&mut fleet, FIRST);
    fleet
}

#[test]
fn warm_server_is_admitted_without_a_draw() {
    let fleet = fleet_with_a_cold_server();
    let mut rng = fastrand::Rng::with_seed(1);
    let admission = SlowStartAdmission::new();
    let decision = admission.admit(&fleet, &fleet.servers[SECOND], &mut rng);
    assert_eq!(decision, Admission::Warm);
    assert_eq!(rng, fastrand::Rng::with_seed(1));
}

#[test]
fn server_whose_slow_start_is_over_is_warm() {
    let mut fleet = fleet_with_a_cold_server();
    fleet.now += fleet.settings.slow_start.duration;
    let mut rng = fastrand::Rng::with_seed(1);
    let decision = SlowStartAdmission::new().admit(&fleet, &fleet.servers[FIRST], &mut rng);
    assert_eq!(decision, Admission::Warm);
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
fn cold_server_gets_no_more_than_its_bound_within_the_overload_window() {
    let mut fleet = fleet_with_a_cold_server();
    send(&mut fleet, FIRST, 1);
    let mut rng = fastrand::Rng::with_seed(1);
    // Nothing is known of what a warm server gets, so that one request fills the bound.
    let decision = SlowStartAdmission::new().admit(&fleet, &fleet.servers[FIRST], &mut rng);
    assert_eq!(decision, Admission::OverQuota);
}

#[test]
fn bound_grows_with_what_a_warm_server_gets() {
    let mut fleet = fleet_with_a_cold_server();
    let mut admission = SlowStartAdmission::new();
    for _ in 0..1_000 {
        fleet.now += MS;
        admission.on_work_sent(&fleet, 1.0);
    }
    admission.on_tick(&fleet, [SECOND].into_iter());
    send(&mut fleet, FIRST, 1);
    let mut rng = fastrand::Rng::with_seed(1);
    let decision = admission.admit(&fleet, &fleet.servers[FIRST], &mut rng);
    assert_ne!(decision, Admission::OverQuota);
}
