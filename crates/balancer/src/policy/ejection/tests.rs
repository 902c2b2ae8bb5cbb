use super::{EjectionDecision, Readmission};
use crate::fleet::Fleet;
use crate::policy::test_support::{
    FIRST, MS, eject, fail_health_check, fleet, record_arrivals, settings,
};
use crate::state::{ServerIndex, Suspicion};
use crate::{EjectionCause, Micros};

fn decide(fleet: &Fleet, cause: EjectionCause) -> EjectionDecision {
    EjectionDecision::decide(fleet, &fleet.servers[FIRST], cause)
}

/// Ejects the first server and readmits it; returns its ejection time in milliseconds.
fn ejection_ms(fleet: &mut Fleet) -> Micros {
    eject(fleet, FIRST, EjectionCause::Attempts);
    let ended = fleet.servers[FIRST].suspicion.on_readmitted();
    ended.expect("ejected").ejection_time / MS
}

#[test]
fn ejection_time_doubles_up_to_8_s_and_resets_after_20_s_without_ejection() {
    let mut fleet = fleet(settings(), 10);
    record_arrivals(&mut fleet, 10_000);
    let times = [(); 6].map(|()| ejection_ms(&mut fleet));
    assert_eq!(times, [500, 1_000, 2_000, 4_000, 8_000, 8_000]);
    fleet.now += 20_001 * MS;
    record_arrivals(&mut fleet, 10_000);
    assert_eq!(ejection_ms(&mut fleet), 500);
}

#[test]
fn ejection_lasts_at_least_the_mean_attempt_interval_per_server() {
    let mut fleet = fleet(settings(), 10);
    // 25 requests at one instant count as 3.5 requests/s: one per 2.9 s at each of ten servers.
    record_arrivals(&mut fleet, 25);
    let time = ejection_ms(&mut fleet);
    assert!((2_800..3_000).contains(&time), "{time}");
}

#[test]
fn suspected_server_is_not_ejected_again() {
    let mut fleet = fleet(settings(), 10);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    let decision = decide(&fleet, EjectionCause::Attempts);
    assert_eq!(decision, EjectionDecision::AlreadyEjected);
}

#[test]
fn only_attempts_eject_while_health_checks_are_untrusted() {
    let mut fleet = fleet(settings(), 10);
    (0..5).for_each(|n| fail_health_check(&mut fleet, ServerIndex(n)));
    for cause in [EjectionCause::HealthChecks, EjectionCause::Gossip] {
        assert_eq!(decide(&fleet, cause), EjectionDecision::CauseUntrusted);
    }
    let decision = decide(&fleet, EjectionCause::Attempts);
    assert!(matches!(decision, EjectionDecision::Eject { .. }));
}

#[test]
fn server_that_failed_health_checks_for_more_than_800_ms_is_readmitted_in_slow_start() {
    let readmission = |cause, now| {
        let suspicion = Suspicion {
            cause,
            since: 0,
            ejection_time: 0,
        };
        Readmission::decide(now, suspicion)
    };
    let health_checks = EjectionCause::HealthChecks;
    assert_eq!(
        readmission(health_checks, 800 * MS),
        Readmission::FullCapacity
    );
    assert_eq!(readmission(health_checks, 801 * MS), Readmission::SlowStart);
    let attempts = EjectionCause::Attempts;
    assert_eq!(readmission(attempts, 801 * MS), Readmission::FullCapacity);
}
