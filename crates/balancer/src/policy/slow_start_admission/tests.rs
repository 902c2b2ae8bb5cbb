use super::{Admission, SlowStartAdmission};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, MS, SECOND, fleet, restart, send, settings};

/// Two servers, the first one just started with a quarter of its capacity.
fn fleet_with_a_server_in_slow_start() -> Fleet {
    let mut settings = settings();
    settings.slow_start.initial_capacity = 0.25;
    let mut fleet = fleet(settings, 2);
    restart(&mut fleet, FIRST);
    fleet
}

#[test]
fn warm_server_is_admitted_without_a_random_draw() {
    let mut fleet = fleet_with_a_server_in_slow_start();
    let mut rng = fastrand::Rng::with_seed(1);
    let admission = SlowStartAdmission::new();
    let always_warm = admission.admit(&fleet, &fleet.servers[SECOND], &mut rng);
    fleet.now += fleet.settings.slow_start.duration;
    let warmed_up = admission.admit(&fleet, &fleet.servers[FIRST], &mut rng);
    assert_eq!([always_warm, warmed_up], [Admission::Warm; 2]);
    assert_eq!(rng, fastrand::Rng::with_seed(1));
}

#[test]
fn server_in_slow_start_is_admitted_in_proportion_to_its_capacity() {
    let fleet = fleet_with_a_server_in_slow_start();
    let mut rng = fastrand::Rng::with_seed(1);
    let admission = SlowStartAdmission::new();
    let admitted = (0..4_000)
        .map(|_| admission.admit(&fleet, &fleet.servers[FIRST], &mut rng))
        .filter(|decision| *decision == Admission::Admitted)
        .count();
    assert!((900..1_100).contains(&admitted), "{admitted}");
}

#[test]
fn work_of_a_server_in_slow_start_is_limited_by_the_work_rate_of_a_warm_one() {
    let mut fleet = fleet_with_a_server_in_slow_start();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut admission = SlowStartAdmission::new();
    send(&mut fleet, FIRST, 1);
    // The work rate is not estimated yet, so one request reaches the limit.
    let decision = admission.admit(&fleet, &fleet.servers[FIRST], &mut rng);
    assert_eq!(decision, Admission::WorkLimitReached);
    for _ in 0..1_000 {
        fleet.now += MS;
        admission.on_work_sent(&fleet, 1.0);
    }
    admission.on_tick(&fleet, [SECOND].into_iter());
    let decision = admission.admit(&fleet, &fleet.servers[FIRST], &mut rng);
    assert_ne!(decision, Admission::WorkLimitReached);
}
