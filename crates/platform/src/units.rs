//! Conversions between the milliseconds of the platform's formats and the microseconds used
//! internally.

use std::time::Duration;

use arrowstand_balancer::Micros;

use crate::number::{nearest_f64, truncate_to_u64};

/// Microseconds in a millisecond.
pub(crate) const MICROS_PER_MS: f64 = 1_000.0;

/// Converts milliseconds, possibly fractional, to microseconds, rounded to the nearest. Negative
/// numbers and NaN become 0; numbers above the range become [`Micros::MAX`].
pub fn micros_from_ms(milliseconds: f64) -> Micros {
    truncate_to_u64((milliseconds * MICROS_PER_MS).round())
}

/// Converts microseconds to milliseconds. Up to 2^51, [`micros_from_ms`] returns the same
/// microseconds.
pub(crate) fn ms_from_micros(micros: Micros) -> f64 {
    nearest_f64(micros) / MICROS_PER_MS
}

/// Converts a duration, truncated to whole microseconds, to milliseconds. Microseconds above the
/// range of [`Micros`] become [`Micros::MAX`].
pub(crate) fn ms_from_duration(duration: Duration) -> f64 {
    ms_from_micros(Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX))
}

/// Converts milliseconds to a [`Duration`], rounded as by [`micros_from_ms`].
pub fn duration_from_ms(milliseconds: f64) -> Duration {
    Duration::from_micros(micros_from_ms(milliseconds))
}
