//! The emulator's clock: microseconds since the run began.
//!
//! Owns the run's zero on the monotonic clock and in Unix time. No part of the emulator reads
//! another clock for what it records.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::conversion::{MICROS_PER_MS, micros_from_f64, ms_from_micros};
use crate::scenario::Micros;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;
/// Spans below this are not waited for, in microseconds: half the millisecond that the runtime's
/// timer rounds up to.
const TIMER_GRAIN: Micros = 500;

/// When the run begins, on the monotonic clock and in Unix time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
    start_unix_ms: f64,
}

impl Clock {
    /// A clock of a run that begins after `ahead`.
    pub(super) fn starting_in(ahead: Duration) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            + ahead;
        Self {
            start: Instant::now() + ahead,
            start_unix_ms: unix.as_secs_f64() * MS_PER_S,
        }
    }

    /// Time since the run began; 0 before.
    pub(super) fn now(&self) -> Micros {
        Micros::try_from(self.start.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    pub(super) async fn sleep_until(&self, at: Micros) {
        tokio::time::sleep_until(self.instant(at)).await;
    }

    pub(super) fn instant(&self, at: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + Duration::from_micros(at))
    }

    /// Unix time of a server's start in microseconds; `None` for one before the run.
    pub(super) fn unix_time(&self, started_at: Micros) -> Option<Micros> {
        (started_at > 0).then(|| {
            let unix_ms = self.start_unix_ms + ms_from_micros(started_at);
            micros_from_f64(unix_ms * MICROS_PER_MS)
        })
    }
}

/// Sleeps for a while, unless it is below the timer's grain.
pub(super) async fn sleep_for(span: Micros) {
    if span >= TIMER_GRAIN {
        tokio::time::sleep(Duration::from_micros(span)).await;
    }
}
