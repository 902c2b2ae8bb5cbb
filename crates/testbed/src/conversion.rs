//! Lossy conversions between integers and floating-point numbers, and between units of time, for
//! which the standard library has no `From`.
//!
//! Out-of-range numbers saturate. The times in a scenario file are converted by `scenario::time`.

use crate::scenario::Micros;

/// Microseconds in a millisecond.
pub(crate) const MICROS_PER_MS: f64 = 1_000.0;
/// Microseconds in a second.
pub(crate) const MICROS_PER_S: f64 = 1e6;
/// Microseconds in a second, for integer arithmetic.
const WHOLE_MICROS_PER_S: Micros = 1_000_000;

/// A count as the nearest floating-point number; exact up to 2^53.
pub(crate) fn f64_from_count(count: usize) -> f64 {
    count as f64
}

/// A count or time as the nearest floating-point number; exact up to 2^53.
pub(crate) fn f64_from_u64(number: u64) -> f64 {
    number as f64
}

/// A signed integer as the nearest floating-point number; exact up to 2^53.
pub(crate) fn f64_from_i64(number: i64) -> f64 {
    number as f64
}

/// Microseconds truncated to an integer. NaN and negative numbers become 0, numbers above the range
/// the largest integer.
pub(crate) fn micros_from_f64(micros: f64) -> Micros {
    micros as Micros
}

/// A span of time multiplied by a factor, truncated to whole microseconds.
pub(crate) fn scaled_micros(span: Micros, factor: f64) -> Micros {
    micros_from_f64(f64_from_u64(span) * factor)
}

/// A count truncated to an integer. NaN and negative numbers become 0, numbers above the range the
/// largest integer.
pub(crate) fn count_from_f64(count: f64) -> usize {
    count as usize
}

/// A 32-bit count as a `usize`.
pub(crate) fn count_from_u32(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}

/// A count as a 32-bit integer; larger counts become `u32::MAX`.
pub(crate) fn u32_from_count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// A count as a 64-bit integer.
pub(crate) fn u64_from_count(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

/// Converts microseconds to milliseconds.
pub(crate) fn ms_from_micros(micros: Micros) -> f64 {
    f64_from_u64(micros) / MICROS_PER_MS
}

/// Converts microseconds to seconds.
pub(crate) fn s_from_micros(micros: Micros) -> f64 {
    f64_from_u64(micros) / MICROS_PER_S
}

/// A time rounded down to a second of the run; the run starts at second 0.
pub(crate) fn second_floor(at: Micros) -> usize {
    usize::try_from(at / WHOLE_MICROS_PER_S).unwrap_or(usize::MAX)
}

/// A time rounded up to a second of the run.
pub(crate) fn second_ceil(at: Micros) -> usize {
    usize::try_from(at.div_ceil(WHOLE_MICROS_PER_S)).unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;
