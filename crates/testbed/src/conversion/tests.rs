//! Numbers that fit are kept; what does not fit saturates.

use super::{f64_from_count, f64_from_micros, micros_from_f64};
use crate::scenario::Micros;

#[test]
fn integers_up_to_2_53_are_kept() {
    assert_eq!(f64_from_count(1 << 53), 9_007_199_254_740_992.0);
    assert_eq!(f64_from_micros(1 << 53), 9_007_199_254_740_992.0);
}

#[test]
fn a_fraction_of_a_microsecond_is_cut_off() {
    assert_eq!(micros_from_f64(1.999), 1);
}

#[test]
fn what_is_no_time_becomes_the_nearest_one() {
    assert_eq!(micros_from_f64(-1.0), 0);
    assert_eq!(micros_from_f64(f64::NAN), 0);
    assert_eq!(micros_from_f64(1e30), Micros::MAX);
}
