//! The platform's milliseconds and the program's microseconds, each converted into the other. Owns
//! the rounding; what a time bounds is known by its reader.

use std::time::Duration;

use arrowstand_balancer::Micros;

use crate::number::{nearest_f64, truncate_to_u64};

/// Microseconds in a millisecond.
pub(crate) const MICROS_PER_MS: f64 = 1_000.0;

/// Milliseconds, possibly fractional, as whole microseconds, rounded. Negative numbers and NaN
/// become zero, numbers that do not fit become the largest time.
pub fn micros_from_ms(milliseconds: f64) -> Micros {
    truncate_to_u64((milliseconds * MICROS_PER_MS).round())
}

/// Microseconds as milliseconds; [`micros_from_ms`] gives the same microseconds again up to 2^51.
pub(crate) fn ms_from_micros(micros: Micros) -> f64 {
    nearest_f64(micros) / MICROS_PER_MS
}

/// The whole microseconds of a duration as milliseconds; what does not fit becomes the largest
/// time.
pub(crate) fn ms_from_duration(duration: Duration) -> f64 {
    ms_from_micros(Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX))
}

/// Milliseconds as a [`Duration`], rounded as [`micros_from_ms`] does.
pub fn duration_from_ms(milliseconds: f64) -> Duration {
    Duration::from_micros(micros_from_ms(milliseconds))
}
