//! Fraction of requests that are expected to miss their latency objective.

use crate::estimators::smoothing::FLEET_SMOOTHING_FACTOR;

/// Fraction of requests whose selected server is expected to miss the latency objective.
#[derive(Default)]
pub(crate) struct MissedObjectiveRate {
    rate: f64,
}

impl MissedObjectiveRate {
    /// Returns the fraction, from 0 to 1.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Records a request whose selected server is expected to miss the objective.
    pub(crate) fn on_expected_miss(&mut self) {
        self.rate += FLEET_SMOOTHING_FACTOR * (1.0 - self.rate);
    }

    /// Records a request whose selected server is not expected to miss the objective, or for which
    /// no server was found.
    pub(crate) fn on_no_expected_miss(&mut self) {
        self.rate += FLEET_SMOOTHING_FACTOR * (0.0 - self.rate);
    }
}
