//! Conversions between the testbed's integers and floating-point numbers, and between its units of
//! time, that the standard library has no `From` for.
//!
//! Owns what happens to a number that does not fit. The times of a scenario's file are converted by
//! `scenario`.

use crate::scenario::Micros;

/// Microseconds in a millisecond.
pub(crate) const MICROS_PER_MS: f64 = 1_000.0;
/// Microseconds in a second.
pub(crate) const MICROS_PER_S: f64 = 1e6;
/// Microseconds in a second, for whole seconds.
const WHOLE_MICROS_PER_S: Micros = 1_000_000;

/// A count as the nearest floating-point number; equal up to 2^53.
pub(crate) fn f64_from_count(count: usize) -> f64 {
    count as f64
}

/// A count or time as the nearest floating-point number; equal up to 2^53.
pub(crate) fn f64_from_u64(number: u64) -> f64 {
    number as f64
}

/// A signed integer as the nearest floating-point number; equal up to 2^53.
pub(crate) fn f64_from_i64(number: i64) -> f64 {
    number as f64
}

/// Microseconds without their fraction. NaN and negative numbers become 0, numbers above the range
/// the largest.
pub(crate) fn micros_from_f64(micros: f64) -> Micros {
    micros as Micros
}

/// A span times a factor, in whole microseconds: the fraction is cut off.
pub(crate) fn scaled_micros(span: Micros, factor: f64) -> Micros {
    micros_from_f64(f64_from_u64(span) * factor)
}

/// A count without its fraction. NaN and negative numbers become 0, numbers above the range the
/// largest.
pub(crate) fn count_from_f64(count: f64) -> usize {
    count as usize
}

/// A count of 32 bits as one of the machine's.
pub(crate) fn count_from_u32(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}

/// A count as one of 32 bits; the largest one for what is above.
pub(crate) fn u32_from_count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// A count as one of 64 bits.
pub(crate) fn u64_from_count(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

/// Microseconds in milliseconds.
pub(crate) fn ms_from_micros(micros: Micros) -> f64 {
    f64_from_u64(micros) / MICROS_PER_MS
}

/// Microseconds in seconds.
pub(crate) fn s_from_micros(micros: Micros) -> f64 {
    f64_from_u64(micros) / MICROS_PER_S
}

/// The second of the run in which a moment lies, from 0.
pub(crate) fn second_floor(at: Micros) -> usize {
    usize::try_from(at / WHOLE_MICROS_PER_S).unwrap_or(usize::MAX)
}

/// The first second of the run that begins at a moment or later.
pub(crate) fn second_ceil(at: Micros) -> usize {
    usize::try_from(at.div_ceil(WHOLE_MICROS_PER_S)).unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;
