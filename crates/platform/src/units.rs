//! Conversion of the platform's milliseconds to the units of the program.

use std::time::Duration;

use arrowstand_balancer::Micros;

const MICROS_PER_MILLISECOND: f64 = 1_000.0;

/// Milliseconds, possibly fractional, as whole microseconds, rounded. Negative numbers and NaN
/// become zero, numbers that do not fit become the largest time.
pub fn micros_from_ms(milliseconds: f64) -> Micros {
    (milliseconds * MICROS_PER_MILLISECOND).round() as Micros
}

/// The same as a [`Duration`].
pub fn duration_from_ms(milliseconds: f64) -> Duration {
    Duration::from_micros(micros_from_ms(milliseconds))
}
