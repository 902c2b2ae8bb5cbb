use super::{CheckSource, HealthCheckSchedule};
use crate::ServerId;

#[test]
fn health_check_is_due_after_its_interval() {
    let mut schedule = HealthCheckSchedule::default();
    schedule.on_started(100);
    assert!(!schedule.is_due(99) && schedule.is_due(100));
    schedule.on_scheduled_check_started(100, 50);
    assert!(!schedule.is_due(149) && schedule.is_due(150));
}

#[test]
fn expedited_server_brings_the_next_health_check_forward_and_is_queued_once() {
    let mut schedule = HealthCheckSchedule::default();
    schedule.on_scheduled_check_started(100, 1_000);
    schedule.expedite(ServerId(3), 200, 150);
    schedule.expedite(ServerId(3), 200, 160);
    assert!(!schedule.is_due(299) && schedule.is_due(300));
    assert_eq!(
        (schedule.pop_expedited(), schedule.pop_expedited()),
        (Some(ServerId(3)), None)
    );
}

#[test]
fn expedited_server_is_due_at_once_if_the_last_health_check_was_long_ago() {
    let mut schedule = HealthCheckSchedule::default();
    schedule.on_scheduled_check_started(100, 5_000);
    schedule.expedite(ServerId(3), 200, 900);
    assert!(schedule.is_due(900));
}

#[test]
fn suspected_and_expedited_servers_alternate() {
    let mut schedule = HealthCheckSchedule::default();
    let sources = [(); 4].map(|()| schedule.next_source());
    let expected = [
        CheckSource::Suspected,
        CheckSource::Expedited,
        CheckSource::Suspected,
        CheckSource::Expedited,
    ];
    assert_eq!(sources, expected);
}
