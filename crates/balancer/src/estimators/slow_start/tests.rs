use super::{SlowStartRecord, WarmServerWorkRate};
use crate::{Settings, SlowStartSettings};

fn settings() -> Settings {
    Settings {
        slow_start: SlowStartSettings {
            initial_capacity: 0.5,
            duration: 1_000,
            ..SlowStartSettings::default()
        },
        ..Settings::default()
    }
}

fn started_at(start: u64) -> SlowStartRecord {
    let mut record = SlowStartRecord::default();
    record.on_started(start, start, settings().slow_start.duration);
    record
}

#[test]
fn factor_rises_from_the_initial_capacity_to_one() {
    let record = started_at(10_000);
    let factors = [10_000, 10_500, 11_000, 20_000].map(|now| record.factor(now, &settings()));
    assert_eq!(factors, [0.5, 0.75, 1.0, 1.0]);
}

#[test]
fn start_long_ago_does_not_begin_slow_start() {
    let mut record = SlowStartRecord::default();
    record.on_started(10_000, 11_000, settings().slow_start.duration);
    assert!(!record.is_active());
}

#[test]
fn work_counts_within_the_window_and_only_in_slow_start() {
    let mut record = started_at(10_000);
    record.on_work_sent(2.0, 10_010, 50);
    record.on_work_sent(1.0, 10_050, 50);
    assert_eq!(record.work_sent_within(50, 10_060), 3.0);
    assert_eq!(record.work_sent_within(50, 10_061), 1.0);
    record.on_warmed_up();
    record.on_work_sent(5.0, 10_070, 50);
    assert_eq!(record.work_sent_within(50, 10_070), 0.0);
}

#[test]
fn work_rate_is_kept_while_most_servers_are_in_slow_start() {
    let mut work_rate = WarmServerWorkRate::new();
    work_rate.on_work_sent(4.0, 1_000);
    work_rate.update([1.0, 1.0].into_iter(), 1_000);
    let warm = work_rate.per_microsecond();
    assert!(warm > 0.0);
    work_rate.update([0.2, 0.2].into_iter(), 1_000);
    assert_eq!(work_rate.per_microsecond(), warm);
}
