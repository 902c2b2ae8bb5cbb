//! How many requests the fleet has no time for.

use crate::estimators::weights::FLEET_WEIGHT;

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

    /// A server was picked for a request, or none; `missed` where its response would be late.
    pub(crate) fn on_server_picked(&mut self, missed: bool) {
        self.rate += FLEET_WEIGHT * (f64::from(u8::from(missed)) - self.rate);
    }
}
