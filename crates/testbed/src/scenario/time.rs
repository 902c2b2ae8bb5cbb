//! Times of the testbed, and how those of a file are brought to them.
//!
//! Owns the unit of time of both engines and its conversions. Reads no clock: the simulator's
//! timeline and the emulator's clock say what time it is.

/// Microseconds on the testbed's clock, or between two moments of it.
pub type Micros = u64;

/// Microseconds of a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;
/// Microseconds of a second.
const MICROS_PER_S: f64 = 1e6;

/// Milliseconds of a file in whole microseconds; 0 for what is negative.
pub fn from_ms(ms: f64) -> Micros {
    whole(ms * MICROS_PER_MS)
}

/// Seconds of a file in whole microseconds; 0 for what is negative.
pub fn from_s(s: f64) -> Micros {
    whole(s * MICROS_PER_S)
}

/// Microseconds in seconds.
pub(super) fn to_s(time: Micros) -> f64 {
    time as f64 / MICROS_PER_S
}

/// Rounds to whole microseconds. The cast saturates: what is too long becomes the longest time, and
/// what is not a number becomes 0.
fn whole(micros: f64) -> Micros {
    micros.round().max(0.0) as Micros
}
