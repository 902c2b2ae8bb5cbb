use proptest::prelude::*;

use super::*;

proptest! {
    /// Whatever else holds, each reason alone blocks an attempt, and nothing else does.
    #[test]
    fn each_reason_blocks_alone_and_nothing_else_does(
        client_left: bool,
        time_left in 0_u64..3,
        window_left in prop::option::of(0_u64..3),
        drain_age in prop::option::of(0_u64..6),
        server_moved: bool,
        list_stale: bool,
        max_drain_age in 1_u64..6,
    ) {
        let ms = Duration::from_millis;
        let conditions = SendConditions {
            client_left,
            time_left: ms(time_left),
            retry_window_left: window_left.map(ms),
            drain_age: drain_age.map(ms),
            server_moved,
            list_stale,
        };
        let may_begin = !client_left
            && time_left > 0
            && window_left != Some(0)
            && drain_age.is_none_or(|age| age < max_drain_age)
            && !server_moved
            && !list_stale;
        prop_assert_eq!(check(&conditions, ms(max_drain_age)).is_ok(), may_begin);
    }

    /// A blocked attempt stays blocked as time passes: no later check lets through what an earlier
    /// one blocked.
    #[test]
    fn a_blocked_attempt_stays_blocked_as_time_passes(
        time_left in 0_u64..100,
        window_left in 0_u64..100,
        drain_age in 0_u64..100,
        later in 0_u64..100,
    ) {
        let ms = Duration::from_millis;
        let conditions_after = |passed: u64| SendConditions {
            client_left: false,
            time_left: ms(time_left.saturating_sub(passed)),
            retry_window_left: Some(ms(window_left.saturating_sub(passed))),
            drain_age: Some(ms(drain_age + passed)),
            server_moved: false,
            list_stale: false,
        };
        let allowed_at_first = check(&conditions_after(0), ms(50)).is_ok();
        let allowed_later = check(&conditions_after(later), ms(50)).is_ok();
        prop_assert!(allowed_at_first || !allowed_later);
    }
}
