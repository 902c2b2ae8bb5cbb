//! Conversions between counts or times and the floating-point numbers of estimates, with a defined
//! result for numbers that are out of range.

use arrowstand_balancer::Micros;

/// Truncates to whole microseconds. NaN and negative numbers become 0, and numbers above the range
/// become the largest time.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts from f64 saturate, as documented"
)]
pub(crate) fn truncate_to_micros(microseconds: f64) -> Micros {
    microseconds as Micros
}

/// Converts to the nearest floating-point number; exact up to 2^53 microseconds (285 years).
#[expect(
    clippy::cast_precision_loss,
    reason = "rounds to the nearest number, as documented"
)]
pub(crate) fn f64_from_micros(micros: Micros) -> f64 {
    micros as f64
}

/// Converts to the nearest floating-point number; exact up to 2^53.
#[expect(
    clippy::cast_precision_loss,
    reason = "rounds to the nearest number, as documented"
)]
pub(crate) fn f64_from_count(count: usize) -> f64 {
    count as f64
}

#[cfg(test)]
mod tests;
