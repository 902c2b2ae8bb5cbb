//! How much of the time that is wanted answers take, where nothing else tells how full the fleet is.

use super::*;

/// Weight of a new sample; forgotten by half in this time, so that some work always finds out.
const SATURATION_WEIGHT: f64 = 0.1;
const SATURATION_HALF_LIFE: f64 = 3_000_000.0;

impl Balancer {
    pub(crate) fn saturation(&self) -> f64 {
        self.saturation * self.decay(self.saturation_updated_at, SATURATION_HALF_LIFE)
    }

    pub(crate) fn record_latency_share(&mut self, share: f64) {
        let old = self.saturation();
        (self.saturation, self.saturation_updated_at) = (old + SATURATION_WEIGHT * (share - old), self.now);
    }
}
