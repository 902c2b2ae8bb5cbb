use proptest::prelude::*;

use super::*;

proptest! {
    /// Each reason blocks an attempt by itself, and without a reason the attempt is allowed.
    #[test]
    fn attempt_is_blocked_if_and_only_if_a_reason_applies(
        client_disconnected: bool,
        attempt_time_left in 0_u64..3,
        retry_window_left in prop::option::of(0_u64..3),
        time_not_ready in prop::option::of(0_u64..6),
        server_address_changed: bool,
        endpoint_list_stale: bool,
        max_time_not_ready in 1_u64..6,
    ) {
        let ms = Duration::from_millis;
        let conditions = SendConditions {
            client_disconnected,
            attempt_time_left: ms(attempt_time_left),
            retry_window_left: retry_window_left.map(ms),
            time_not_ready: time_not_ready.map(ms),
            server_address_changed,
            endpoint_list_stale,
        };
        let may_begin = !client_disconnected
            && attempt_time_left > 0
            && retry_window_left != Some(0)
            && time_not_ready.is_none_or(|age| age < max_time_not_ready)
            && !server_address_changed
            && !endpoint_list_stale;
        prop_assert_eq!(check_conditions(&conditions, ms(max_time_not_ready)).is_ok(), may_begin);
    }

    /// An attempt that one check blocked is not allowed by a later check.
    #[test]
    fn blocked_attempt_stays_blocked_as_time_passes(
        attempt_time_left in 0_u64..100,
        retry_window_left in 0_u64..100,
        time_not_ready in 0_u64..100,
        later in 0_u64..100,
    ) {
        let ms = Duration::from_millis;
        let conditions_after = |passed: u64| SendConditions {
            client_disconnected: false,
            attempt_time_left: ms(attempt_time_left.saturating_sub(passed)),
            retry_window_left: Some(ms(retry_window_left.saturating_sub(passed))),
            time_not_ready: Some(ms(time_not_ready + passed)),
            server_address_changed: false,
            endpoint_list_stale: false,
        };
        let allowed_initially = check_conditions(&conditions_after(0), ms(50)).is_ok();
        let allowed_later = check_conditions(&conditions_after(later), ms(50)).is_ok();
        prop_assert!(allowed_initially || !allowed_later);
    }
}
