//! Requests in flight from other balancers at one server, from load reports and rejections.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::decaying_rate::decay_factor;

/// Half-life of the means over load reports, in microseconds. A report in a response is some
/// hundred milliseconds old, and the changes since then are unknown, so only a mean over many
/// reports shows the load from other balancers. With 0.3 s the means are mostly noise
/// (docs/deployments.md).
const REPORT_MEAN_HALF_LIFE: f64 = 3_000_000.0;

/// Load of a server from sources other than this balancer's attempts.
#[derive(Default)]
pub(crate) struct ServerLoad {
    in_flight_from_others: f64,
    updated_at: Micros,
    mean_reported: f64,
    mean_own: f64,
}

impl ServerLoad {
    /// Returns when the load was last updated.
    pub(crate) fn updated_at(&self) -> Micros {
        self.updated_at
    }

    /// Returns the requests in flight from other balancers, scaled by `weight`, which falls with
    /// the age of the report.
    pub(crate) fn in_flight_from_others(&self, weight: f64) -> f64 {
        self.in_flight_from_others * weight
    }

    /// Records the requests in flight that a health check reported; `own` of them are this
    /// balancer's.
    pub(crate) fn on_health_check_report(&mut self, reported: f64, own: f64, now: Micros) {
        self.in_flight_from_others = (reported - own).max(0.0);
        self.updated_at = now;
    }

    /// Records the requests in flight that a response reported. The report is too old to compare
    /// with the own requests of this moment, so the means of both over the same time are compared.
    pub(crate) fn on_response_report(&mut self, reported: f64, own: f64, now: Micros) {
        let weight = 1.0 - decay_factor(now, self.updated_at, REPORT_MEAN_HALF_LIFE);
        self.mean_reported += weight * (reported - self.mean_reported);
        self.mean_own += weight * (own - self.mean_own);
        self.in_flight_from_others = (self.mean_reported - self.mean_own).max(0.0);
        self.updated_at = now;
    }

    /// Records a rejection of an attempt that was sent at this queue depth: the load is higher than
    /// known.
    pub(crate) fn on_rejected(&mut self, queue_depth: f64, now: Micros) {
        self.in_flight_from_others = self.in_flight_from_others.max(queue_depth + 1.0);
        self.updated_at = now;
    }

    /// Clears the load after a restart of the server.
    pub(crate) fn on_restarted(&mut self) {
        self.in_flight_from_others = 0.0;
        self.mean_reported = 0.0;
        self.mean_own = 0.0;
    }
}
