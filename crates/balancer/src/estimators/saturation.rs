//! How full the fleet is, from the time that responses take, where nothing else tells.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::decaying_rate::decay_factor;

/// Weight of a new sample, a share: about the last 10 responses count. Inherited with the first
/// version of the module; its source was not recorded.
const SATURATION_SMOOTHING_FACTOR: f64 = 0.1;
/// Half-life of the saturation, in microseconds: where all requests are shed no response comes, and
/// only its decay lets some find out that the fleet has recovered. Longer keeps shedding after a
/// burst. Inherited with the first version of the module; its source was not recorded.
const SATURATION_HALF_LIFE: f64 = 3_000_000.0;

/// Mean share of the latency objective that responses take; a rejection counts as all of it.
#[derive(Default)]
pub(crate) struct SaturationEstimator {
    saturation: f64,
    updated_at: Micros,
}

impl SaturationEstimator {
    /// The share, from 0 to 1.
    pub(crate) fn saturation(&self, now: Micros) -> f64 {
        self.saturation * decay_factor(now, self.updated_at, SATURATION_HALF_LIFE)
    }

    /// A response took this share of the latency objective.
    pub(crate) fn on_response(&mut self, objective_share: f64, now: Micros) {
        let before = self.saturation(now);
        self.saturation = before + SATURATION_SMOOTHING_FACTOR * (objective_share - before);
        self.updated_at = now;
    }

    /// A server rejected an attempt.
    pub(crate) fn on_rejected(&mut self, now: Micros) {
        self.on_response(1.0, now);
    }
}
