use proptest::prelude::*;

use super::*;

proptest! {
    /// Whatever else holds, each reason alone stops an attempt, and nothing else does.
    #[test]
    fn each_reason_stops_alone(
        left: bool,
        time in 0_u64..3,
        window in prop::option::of(0_u64..3),
        drained in prop::option::of(0_u64..6),
        moved: bool,
        stale: bool,
        grace in 1_u64..6,
    ) {
        let ms = Duration::from_millis;
        let view = SendConditions {
            client_left: left,
            time_left: ms(time),
            window_left: window.map(ms),
            drain_age: drained.map(ms),
            server_moved: moved,
            list_stale: stale,
        };
        let free = !left && time > 0 && window != Some(0) && drained.is_none_or(|d| d < grace) && !moved && !stale;
        prop_assert_eq!(check(&view, ms(grace)).is_ok(), free);
    }

    /// What is stopped stays stopped as time goes on: a later look never lets through what an earlier one refused.
    #[test]
    fn time_opens_nothing(time in 0_u64..100, window in 0_u64..100, drained in 0_u64..100, later in 0_u64..100) {
        let ms = Duration::from_millis;
        let at = |passed: u64| SendConditions {
            client_left: false,
            time_left: ms(time.saturating_sub(passed)),
            window_left: Some(ms(window.saturating_sub(passed))),
            drain_age: Some(ms(drained + passed)),
            server_moved: false,
            list_stale: false,
        };
        prop_assert!(check(&at(0), ms(50)).is_ok() || check(&at(later), ms(50)).is_err());
    }
}
