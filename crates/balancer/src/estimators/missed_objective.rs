//! How many requests the fleet has no time for.

use crate::estimators::smoothing::FLEET_SMOOTHING_FACTOR;

/// Share of the requests for which the server picked would respond late.
#[derive(Default)]
pub(crate) struct MissedObjectiveRate {
    rate: f64,
}

impl MissedObjectiveRate {
    /// The share, from 0 to 1.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// The server picked for a request would respond late.
    pub(crate) fn on_missed(&mut self) {
        self.rate += FLEET_SMOOTHING_FACTOR * (1.0 - self.rate);
    }

    /// The server picked for a request would respond in time, or none was found.
    pub(crate) fn on_met(&mut self) {
        self.rate += FLEET_SMOOTHING_FACTOR * (0.0 - self.rate);
    }
}
