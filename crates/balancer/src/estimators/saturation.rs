//! Saturation of the fleet, from response times, for deployments without load reports.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::decaying_rate::decay_factor;

/// Smoothing factor of the saturation: about the last 10 responses count.
const SATURATION_SMOOTHING_FACTOR: f64 = 0.1;
/// Half-life of the saturation, in microseconds. If all requests are shed, no response arrives, and
/// only this decay admits requests that show whether the fleet has recovered. With a longer one,
/// shedding goes on after a burst.
const SATURATION_HALF_LIFE: f64 = 3_000_000.0;

/// Mean fraction of the latency objective that responses take; a rejection counts as 1.
#[derive(Default)]
pub(crate) struct SaturationEstimator {
    saturation: f64,
    updated_at: Micros,
}

impl SaturationEstimator {
    /// Returns the fraction, from 0 to 1.
    pub(crate) fn saturation(&self, now: Micros) -> f64 {
        self.saturation * decay_factor(now, self.updated_at, SATURATION_HALF_LIFE)
    }

    /// Records a response that took this fraction of the latency objective.
    pub(crate) fn on_response(&mut self, objective_fraction: f64, now: Micros) {
        let previous = self.saturation(now);
        self.saturation = previous + SATURATION_SMOOTHING_FACTOR * (objective_fraction - previous);
        self.updated_at = now;
    }

    /// Records an attempt that a server rejected.
    pub(crate) fn on_rejected(&mut self, now: Micros) {
        self.on_response(1.0, now);
    }
}
