//! Conversions between the testbed's integers and floating-point numbers that the standard library
//! has no `From` for.
//!
//! Owns what happens to a number that does not fit. Units are the callers'.

use crate::scenario::Micros;

/// A count as the nearest floating-point number; equal up to 2^53.
pub(crate) fn f64_from_count(count: usize) -> f64 {
    count as f64
}

/// Microseconds as the nearest floating-point number; equal up to 2^53, which is 285 years.
pub(crate) fn f64_from_micros(micros: Micros) -> f64 {
    micros as f64
}

/// Microseconds without their fraction. NaN and negative numbers become 0, numbers above the range
/// the largest.
pub(crate) fn micros_from_f64(micros: f64) -> Micros {
    micros as Micros
}

#[cfg(test)]
mod tests;
