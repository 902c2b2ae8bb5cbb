//! The balancer's clock: Unix time at the start, and monotonic from there. Owns no timer.

use std::time::{SystemTime, UNIX_EPOCH};

use arrowstand_balancer::Micros;
use tokio::time::Instant;

use crate::units::micros;

/// Gives the time in Unix microseconds, so that the start times of servers in the endpoint list can
/// be compared with it. After the start it follows the monotonic clock: a step of the wall clock
/// moves no timer.
pub(crate) struct BalancerClock {
    started_at: Instant,
    unix_time_at_start: Micros,
}

impl BalancerClock {
    /// Takes the wall clock's time now as the start; a wall clock before 1970 counts as 1970.
    pub(crate) fn start() -> Self {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_at: Instant::now(),
            unix_time_at_start: micros(unix_time),
        }
    }

    /// What the clock showed at its start.
    pub(super) fn unix_time_at_start(&self) -> Micros {
        self.unix_time_at_start
    }

    /// What the clock shows now.
    pub(crate) fn now(&self) -> Micros {
        self.unix_time_at_start + micros(self.started_at.elapsed())
    }

    /// What the clock showed at an instant that is past.
    pub(crate) fn micros_at(&self, instant: Instant) -> Micros {
        self.now().saturating_sub(micros(instant.elapsed()))
    }
}
