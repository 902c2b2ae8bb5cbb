//! A run is unreliable once more than 1 % of its events are late.

use super::{LATE_THRESHOLD, ScheduleLag};

#[test]
fn run_is_unreliable_only_above_the_share_of_late_events() {
    let unreliable_reason = |late: u64| {
        let schedule_lag = ScheduleLag::default();
        for event in 0..1_000 {
            schedule_lag.record(
                0,
                if event < late {
                    2 * LATE_THRESHOLD
                } else {
                    900
                },
            );
        }
        schedule_lag.unreliable_reason()
    };
    assert_eq!(unreliable_reason(10), None);
    assert!(unreliable_reason(11).is_some_and(|reason| reason.contains("ran late")));
}
