//! Numbers in range are kept; out-of-range numbers saturate.

use super::*;

#[test]
fn integers_up_to_2_53_convert_exactly() {
    assert_eq!(f64_from_count(1 << 53), 9_007_199_254_740_992.0);
    assert_eq!(f64_from_u64(1 << 53), 9_007_199_254_740_992.0);
    assert_eq!(f64_from_i64(-(1 << 53)), -9_007_199_254_740_992.0);
}

#[test]
fn fractions_are_truncated() {
    assert_eq!(micros_from_f64(1.999), 1);
    assert_eq!(count_from_f64(1.999), 1);
}

#[test]
fn out_of_range_numbers_saturate() {
    assert_eq!(micros_from_f64(-1.0), 0);
    assert_eq!(micros_from_f64(f64::NAN), 0);
    assert_eq!(micros_from_f64(1e30), Micros::MAX);
    assert_eq!(count_from_f64(-1.0), 0);
    assert_eq!(count_from_f64(f64::INFINITY), usize::MAX);
    assert_eq!(u32_from_count(usize::MAX), u32::MAX);
}

#[test]
fn integer_width_conversions_keep_values_in_range() {
    assert_eq!(count_from_u32(u32::MAX), 4_294_967_295);
    assert_eq!(u32_from_count(4_294_967_295), u32::MAX);
    assert_eq!(u64_from_count(7), 7);
}

#[test]
fn microseconds_convert_to_milliseconds_and_seconds() {
    assert_eq!(ms_from_micros(1_500), 1.5);
    assert_eq!(s_from_micros(1_500_000), 1.5);
}

#[test]
fn times_round_down_or_up_to_seconds() {
    assert_eq!(
        (
            second_floor(0),
            second_floor(999_999),
            second_floor(1_000_000)
        ),
        (0, 0, 1)
    );
    assert_eq!(
        (second_ceil(0), second_ceil(1), second_ceil(1_000_000)),
        (0, 1, 1)
    );
}
