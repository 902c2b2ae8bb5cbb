//! Failure rate of one server's attempts.

use crate::Micros;
use crate::estimators::smoothing::SERVER_SMOOTHING_FACTOR;

/// Upper bound of a server's failure rate. A server counts as slower by the inverse of its success
/// rate, so by at most a factor of 5. With a higher bound, a server that has recovered is selected
/// too rarely to show it.
const MAX_FAILURE_RATE: f64 = 0.8;

/// Results of one server's attempts.
#[derive(Default)]
pub(crate) struct FailureRecord {
    consecutive_failures: u32,
    failure_rate: f64,
    last_served_at: Micros,
}

impl FailureRecord {
    /// Returns the fraction of attempts that fail, from 0 to [`MAX_FAILURE_RATE`].
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns when an attempt was last served, 0 if never.
    pub(crate) fn last_served_at(&self) -> Micros {
        self.last_served_at
    }

    /// Records a served attempt.
    pub(crate) fn on_served(&mut self, now: Micros) {
        self.last_served_at = now;
        self.consecutive_failures = 0;
        self.failure_rate -= SERVER_SMOOTHING_FACTOR * self.failure_rate;
    }

    /// Records a failed attempt; returns the number of consecutive failures.
    pub(crate) fn on_failed(&mut self) -> u32 {
        self.consecutive_failures += 1;
        self.failure_rate += SERVER_SMOOTHING_FACTOR * (MAX_FAILURE_RATE - self.failure_rate);
        self.consecutive_failures
    }

    /// Resets the consecutive failures when the server is readmitted.
    pub(crate) fn on_readmitted(&mut self) {
        self.consecutive_failures = 0;
    }
}
