use proptest::prelude::*;

use super::*;

proptest! {
    /// Each reason blocks an attempt by itself, and without a reason the attempt is allowed.
    #[test]
    fn attempt_is_blocked_if_and_only_if_a_reason_applies(
        client_disconnected: bool,
        time_left in 0_u64..3,
        window_left in prop::option::of(0_u64..3),
        drain_age in prop::option::of(0_u64..6),
        server_address_changed: bool,
        list_stale: bool,
        max_drain_age in 1_u64..6,
    ) {
        let ms = Duration::from_millis;
        let conditions = SendConditions {
            client_disconnected,
            time_left: ms(time_left),
            retry_time_left: window_left.map(ms),
            drain_age: drain_age.map(ms),
            server_address_changed,
            list_stale,
        };
        let may_begin = !client_disconnected
            && time_left > 0
            && window_left != Some(0)
            && drain_age.is_none_or(|age| age < max_drain_age)
            && !server_address_changed
            && !list_stale;
        prop_assert_eq!(check_conditions(&conditions, ms(max_drain_age)).is_ok(), may_begin);
    }

    /// An attempt that one check blocked is not allowed by a later check.
    #[test]
    fn blocked_attempt_stays_blocked_as_time_passes(
        time_left in 0_u64..100,
        window_left in 0_u64..100,
        drain_age in 0_u64..100,
        later in 0_u64..100,
    ) {
        let ms = Duration::from_millis;
        let conditions_after = |passed: u64| SendConditions {
            client_disconnected: false,
            time_left: ms(time_left.saturating_sub(passed)),
            retry_time_left: Some(ms(window_left.saturating_sub(passed))),
            drain_age: Some(ms(drain_age + passed)),
            server_address_changed: false,
            list_stale: false,
        };
        let allowed_initially = check_conditions(&conditions_after(0), ms(50)).is_ok();
        let allowed_later = check_conditions(&conditions_after(later), ms(50)).is_ok();
        prop_assert!(allowed_initially || !allowed_later);
    }
}
