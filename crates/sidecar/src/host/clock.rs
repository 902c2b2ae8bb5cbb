//! The balancer's clock: starts at the Unix time and advances monotonically.

use std::time::{SystemTime, UNIX_EPOCH};

use arrowstand_balancer::Micros;
use tokio::time::Instant;

use crate::units::micros;

/// A clock in Unix microseconds, comparable with the start times of servers in the endpoint list.
/// After its start it follows the monotonic clock, so that a step of the wall clock does not shift
/// timers.
pub(crate) struct BalancerClock {
    started_at: Instant,
    unix_time_at_start: Micros,
}

impl BalancerClock {
    /// Starts the clock at the current wall clock time; a time before 1970 counts as 1970.
    pub(crate) fn start() -> Self {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_at: Instant::now(),
            unix_time_at_start: micros(unix_time),
        }
    }

    /// The time at which the clock started.
    pub(super) fn unix_time_at_start(&self) -> Micros {
        self.unix_time_at_start
    }

    /// The current time.
    pub(crate) fn now(&self) -> Micros {
        self.unix_time_at_start + micros(self.started_at.elapsed())
    }

    /// The clock's time at a past instant.
    pub(crate) fn micros_at(&self, instant: Instant) -> Micros {
        self.now().saturating_sub(micros(instant.elapsed()))
    }
}
