//! The time unit of both engines, and conversions from the times in a scenario file.
//!
//! The current time is kept by the simulator's `scheduler` and the emulator's `clock`.

/// Microseconds: a time since the start of the run, or a duration.
pub type Micros = u64;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;
/// Microseconds in a second.
const MICROS_PER_S: f64 = 1e6;

/// Converts milliseconds to whole microseconds; negative times become 0.
pub fn from_ms(ms: f64) -> Micros {
    round_to_micros(ms * MICROS_PER_MS)
}

/// Converts seconds to whole microseconds; negative times become 0.
pub fn from_s(s: f64) -> Micros {
    round_to_micros(s * MICROS_PER_S)
}

/// Converts microseconds to seconds.
pub(super) fn s_from_micros(time: Micros) -> f64 {
    time as f64 / MICROS_PER_S
}

/// Rounds to whole microseconds. The cast saturates: out-of-range times become the largest, and NaN
/// becomes 0.
fn round_to_micros(micros: f64) -> Micros {
    micros.round().max(0.0) as Micros
}
