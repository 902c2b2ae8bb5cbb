//! How much of the time that is wanted answers take, where nothing else tells how full the fleet is.

use super::*;

/// Weight of a new sample; forgotten by half in this time, so that some work always finds out.
const STRAIN_WEIGHT: f64 = 0.1;
const STRAIN_HALF: f64 = 3_000_000.0;

impl Balancer {
    pub(crate) fn strain(&self) -> f64 {
        self.strain * self.fade(self.strain_at, STRAIN_HALF)
    }

    pub(crate) fn feel(&mut self, share: f64) {
        let old = self.strain();
        (self.strain, self.strain_at) = (old + STRAIN_WEIGHT * (share - old), self.now);
    }
}
