//! Conversions between the standard library's durations and the balancer's unit.

use std::time::Duration;

use arrowstand_balancer::Micros;

/// A duration in whole microseconds; one beyond half a million years counts as that long.
pub(crate) fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}
