use super::{nearest_f64, truncate_to_u32, truncate_to_u64};

#[test]
fn fraction_is_truncated() {
    assert_eq!(truncate_to_u32(1.999), 1);
    assert_eq!(truncate_to_u64(1.999), 1);
}

#[test]
fn number_outside_the_range_saturates() {
    for (number, expected_u32, expected_u64) in [
        (f64::NAN, 0, 0),
        (-1.0, 0, 0),
        (1e30, u32::MAX, u64::MAX),
        (f64::INFINITY, u32::MAX, u64::MAX),
    ] {
        assert_eq!(truncate_to_u32(number), expected_u32, "{number}");
        assert_eq!(truncate_to_u64(number), expected_u64, "{number}");
    }
}

#[test]
fn integer_above_two_to_the_53_is_rounded_to_the_nearest_float() {
    let last_exact = 1_u64 << 53;
    assert_eq!(nearest_f64(last_exact - 1), 9_007_199_254_740_991.0);
    assert_eq!(nearest_f64(last_exact + 1), 9_007_199_254_740_992.0);
}
