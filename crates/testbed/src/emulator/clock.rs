//! The emulator's clock: microseconds since the run began.
//!
//! Maps the times of the run to the monotonic clock and to Unix time. All recorded times are read
//! from this clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::conversion::{MICROS_PER_MS, micros_from_f64, ms_from_micros};
use crate::scenario::Micros;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;
/// Minimum length of a sleep, in microseconds; shorter ones are skipped. It is half of the
/// runtime's timer resolution of one millisecond, to which the runtime rounds up.
const MIN_SLEEP: Micros = 500;

/// The start of the run on the monotonic clock and in Unix time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
    start_unix_ms: f64,
}

impl Clock {
    /// The clock of a run that starts after `delay`.
    pub(super) fn starting_in(delay: Duration) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            + delay;
        Self {
            start: Instant::now() + delay,
            start_unix_ms: unix.as_secs_f64() * MS_PER_S,
        }
    }

    /// Time since the start of the run; 0 before it.
    pub(super) fn now(&self) -> Micros {
        Micros::try_from(self.start.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    pub(super) async fn sleep_until(&self, at: Micros) {
        tokio::time::sleep_until(self.instant(at)).await;
    }

    pub(super) fn instant(&self, at: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + Duration::from_micros(at))
    }

    /// Unix time of a server's start, in microseconds; `None` for a start before the run.
    pub(super) fn unix_time(&self, started_at: Micros) -> Option<Micros> {
        (started_at > 0).then(|| {
            let unix_ms = self.start_unix_ms + ms_from_micros(started_at);
            micros_from_f64(unix_ms * MICROS_PER_MS)
        })
    }
}

/// Sleeps for `span`, or not at all if it is shorter than [`MIN_SLEEP`].
pub(super) async fn sleep_for(span: Micros) {
    if span >= MIN_SLEEP {
        tokio::time::sleep(Duration::from_micros(span)).await;
    }
}
