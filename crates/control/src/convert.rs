//! Conversions between counts, times and the floating-point numbers of estimates. Owns what happens
//! to a number that does not fit.

use arrowstand_balancer::Micros;

/// Whole microseconds: the fraction is cut off, NaN and negative numbers become 0, numbers above
/// the range the largest time.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from f64 saturates, as documented"
)]
pub(crate) fn truncate_to_micros(microseconds: f64) -> Micros {
    microseconds as Micros
}

/// The nearest floating-point number; equal up to 2^53 microseconds, 285 years.
#[expect(
    clippy::cast_precision_loss,
    reason = "rounds to the nearest, as documented"
)]
pub(crate) fn f64_from_micros(micros: Micros) -> f64 {
    micros as f64
}

/// The nearest floating-point number; equal up to 2^53.
#[expect(
    clippy::cast_precision_loss,
    reason = "rounds to the nearest, as documented"
)]
pub(crate) fn f64_from_count(count: usize) -> f64 {
    count as f64
}

#[cfg(test)]
mod tests;
