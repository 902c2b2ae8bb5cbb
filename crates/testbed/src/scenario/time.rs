//! Times of the testbed, and how those of a file are brought to them.

/// Microseconds on the testbed's clock.
pub type Micros = u64;

/// Microseconds of a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;
/// Microseconds of a second.
const MICROS_PER_S: f64 = 1e6;

/// Milliseconds of a file in whole microseconds; 0 for what is negative.
pub fn from_ms(ms: f64) -> Micros {
    (ms * MICROS_PER_MS).round().max(0.0) as Micros
}

/// Seconds of a file in whole microseconds; 0 for what is negative.
pub fn from_s(s: f64) -> Micros {
    (s * MICROS_PER_S).round().max(0.0) as Micros
}
