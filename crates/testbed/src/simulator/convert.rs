//! Conversions between numbers of different types, each named after what it does beyond its range.

use crate::scenario::Micros;

/// A computed span in whole microseconds: the fraction is cut off, and what is negative becomes 0.
pub(super) fn whole_micros(micros: f64) -> Micros {
    micros as Micros
}

/// A span times a factor, in whole microseconds.
pub(super) fn scaled(span: Micros, factor: f64) -> Micros {
    whole_micros(span as f64 * factor)
}

/// A count as the event log and the balancer take it; the greatest one beyond its range.
pub(super) fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
