//! Conversion of the standard library's durations to the balancer's time unit.

use std::time::Duration;

use arrowstand_balancer::Micros;

/// Converts a duration to whole microseconds, saturating at [`Micros::MAX`] (over half a million
/// years).
pub(crate) fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
