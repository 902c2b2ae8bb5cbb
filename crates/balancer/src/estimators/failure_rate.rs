//! How many of a server's attempts fail.

use crate::Micros;
use crate::estimators::smoothing::SERVER_SMOOTHING_FACTOR;

/// Most that a server's failure rate can come to, a share: the server counts as slower by one over
/// the rest, at most five times. Higher, and a server that has recovered is hardly ever drawn to
/// show it. Chosen by experiment on the testbed.
const MAX_FAILURE_RATE: f64 = 0.8;

/// Results of one server's attempts.
#[derive(Default)]
pub(crate) struct FailureRecord {
    consecutive_failures: u32,
    failure_rate: f64,
    last_served_at: Micros,
}

impl FailureRecord {
    /// Share of its attempts that fail, from 0 to [`MAX_FAILURE_RATE`].
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// When an attempt was last served, 0 for never.
    pub(crate) fn last_served_at(&self) -> Micros {
        self.last_served_at
    }

    /// An attempt was served.
    pub(crate) fn on_served(&mut self, now: Micros) {
        self.last_served_at = now;
        self.consecutive_failures = 0;
        self.failure_rate -= SERVER_SMOOTHING_FACTOR * self.failure_rate;
    }

    /// An attempt failed; returns how many failed since one was served.
    pub(crate) fn on_failed(&mut self) -> u32 {
        self.consecutive_failures += 1;
        self.failure_rate += SERVER_SMOOTHING_FACTOR * (MAX_FAILURE_RATE - self.failure_rate);
        self.consecutive_failures
    }

    /// The server is trusted again.
    pub(crate) fn on_readmitted(&mut self) {
        self.consecutive_failures = 0;
    }
}
