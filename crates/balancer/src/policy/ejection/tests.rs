use super::{Ejection, Readmission};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, MS, arrive, eject, fail_health_check, fleet, settings};
use crate::state::{ServerIndex, Suspicion};
use crate::{EjectionCause, Micros};

/// Ten servers and a balancer that is so busy that it sends to each of them all the time.
fn busy_fleet() -> Fleet {
    let mut fleet = fleet(settings(), 10);
    arrive(&mut fleet, 10_000);
    fleet
}

fn ejection_time(fleet: &Fleet, cause: EjectionCause) -> Micros {
    match Ejection::decide(fleet, &fleet.servers[FIRST], cause) {
        Ejection::Raised { suspicion, .. } => suspicion.ejection_time,
        refused => panic!("{refused:?}"),
    }
}

#[test]
fn ejection_time_doubles_with_each_ejection_up_to_8_seconds() {
    let mut fleet = busy_fleet();
    let mut times = Vec::new();
    for _ in 0..6 {
        times.push(ejection_time(&fleet, EjectionCause::Attempts) / MS);
        eject(&mut fleet, FIRST, EjectionCause::Attempts);
        fleet.servers[FIRST].suspicion.on_readmitted();
    }
    assert_eq!(times, [500, 1_000, 2_000, 4_000, 8_000, 8_000]);
}

#[test]
fn earlier_ejections_are_forgotten_after_20_seconds() {
    let mut fleet = busy_fleet();
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    fleet.servers[FIRST].suspicion.on_readmitted();
    fleet.now += 20_001 * MS;
    arrive(&mut fleet, 10_000);
    assert_eq!(ejection_time(&fleet, EjectionCause::Attempts), 500 * MS);
}

#[test]
fn quiet_balancer_ejects_for_its_mean_pause_between_attempts_at_a_server() {
    let mut fleet = fleet(settings(), 10);
    // 25 requests are remembered of the last 5 s, by half: 3.5 a second, or 2.9 s for ten servers.
    arrive(&mut fleet, 25);
    let time = ejection_time(&fleet, EjectionCause::Attempts);
    assert!((2_800 * MS..3_000 * MS).contains(&time), "{time}");
}

#[test]
fn suspected_server_is_not_ejected_again() {
    let mut fleet = busy_fleet();
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    let decision = Ejection::decide(&fleet, &fleet.servers[FIRST], EjectionCause::Attempts);
    assert_eq!(decision, Ejection::AlreadySuspected);
}

#[test]
fn only_attempts_are_believed_where_most_health_checks_fail() {
    let mut fleet = busy_fleet();
    (0..5).for_each(|n| fail_health_check(&mut fleet, ServerIndex(n)));
    let server = &fleet.servers[FIRST];
    for cause in [EjectionCause::HealthChecks, EjectionCause::Gossip] {
        let decision = Ejection::decide(&fleet, server, cause);
        assert_eq!(decision, Ejection::CauseNotBelieved, "{cause:?}");
    }
    let decision = Ejection::decide(&fleet, server, EjectionCause::Attempts);
    assert!(matches!(decision, Ejection::Raised { .. }));
}

#[test]
fn server_that_was_silent_for_longer_than_two_checks_comes_back_in_slow_start() {
    let suspicion = |cause| Suspicion {
        cause,
        since: 0,
        ejection_time: 0,
    };
    let silent = suspicion(EjectionCause::HealthChecks);
    assert_eq!(Readmission::decide(800 * MS, silent), Readmission::AtOnce);
    assert_eq!(
        Readmission::decide(801 * MS, silent),
        Readmission::SlowStart
    );
    let failing = suspicion(EjectionCause::Attempts);
    assert_eq!(Readmission::decide(801 * MS, failing), Readmission::AtOnce);
}
