use super::{f64_from_count, f64_from_micros, truncate_to_micros};

#[test]
fn a_fraction_of_a_microsecond_is_truncated() {
    assert_eq!(truncate_to_micros(1.999), 1);
}

#[test]
fn numbers_out_of_range_become_the_nearest_limit() {
    for (microseconds, expected) in [
        (f64::NAN, 0),
        (-1.0, 0),
        (1e30, u64::MAX),
        (f64::INFINITY, u64::MAX),
    ] {
        let micros = truncate_to_micros(microseconds);
        assert_eq!(micros, expected, "{microseconds}");
    }
}

#[test]
fn times_and_counts_are_exact_up_to_two_to_the_53() {
    assert_eq!(f64_from_micros(1 << 53), 9_007_199_254_740_992.0);
    assert_eq!(f64_from_micros((1 << 53) + 1), 9_007_199_254_740_992.0);
    assert_eq!(f64_from_count(3), 3.0);
}
