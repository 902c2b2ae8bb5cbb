//! Conversions between integers and floating-point numbers, the only numbers that the JSON parser
//! returns. Unit conversions are in [`units`](crate::units).

/// Truncates to an integer. NaN and negative numbers become 0; numbers above the range
/// become [`u32::MAX`].
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from f64 saturates, as documented"
)]
pub(crate) fn truncate_to_u32(number: f64) -> u32 {
    number as u32
}

/// Truncates to an integer. NaN and negative numbers become 0; numbers above the range
/// become [`u64::MAX`].
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from f64 saturates, as documented"
)]
pub(crate) fn truncate_to_u64(number: f64) -> u64 {
    number as u64
}

/// The nearest floating-point number; exact up to 2^53.
#[expect(
    clippy::cast_precision_loss,
    reason = "rounds to the nearest, as documented"
)]
pub(crate) fn nearest_f64(number: u64) -> f64 {
    number as f64
}

#[cfg(test)]
mod tests;
