//! How many requests of others a server holds, as far as load reports and rejections tell.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::decaying_rate::decay_factor;

/// Half-life of the means over load reports, in microseconds. Reports that come with responses were
/// taken some hundred milliseconds before, and what came and went since is unknown: only a mean
/// over many of them tells what others have at a server. Chosen by experiment: 0.3 s was tried, and
/// is mostly noise (docs/deployments.md).
const REPORT_MEAN_HALF_LIFE: f64 = 3_000_000.0;

/// What is known of a server's load beside this balancer's attempts.
#[derive(Default)]
pub(crate) struct ServerLoad {
    in_flight_from_others: f64,
    updated_at: Micros,
    mean_reported: f64,
    mean_own: f64,
}

impl ServerLoad {
    /// When it was last updated.
    pub(crate) fn updated_at(&self) -> Micros {
        self.updated_at
    }

    /// What others have at the server, where what was reported weighs less with its age.
    pub(crate) fn in_flight_from_others(&self, weight: f64) -> f64 {
        self.in_flight_from_others * weight
    }

    /// A health check reported the requests in flight; `own` of them are this balancer's.
    pub(crate) fn on_health_check_report(&mut self, reported: f64, own: f64, now: Micros) {
        self.in_flight_from_others = (reported - own).max(0.0);
        self.updated_at = now;
    }

    /// A response reported the requests in flight some time ago. An old report says nothing against
    /// the own requests of now, so means over the same time are compared.
    pub(crate) fn on_response_report(&mut self, reported: f64, own: f64, now: Micros) {
        let weight = 1.0 - decay_factor(now, self.updated_at, REPORT_MEAN_HALF_LIFE);
        self.mean_reported += weight * (reported - self.mean_reported);
        self.mean_own += weight * (own - self.mean_own);
        self.in_flight_from_others = (self.mean_reported - self.mean_own).max(0.0);
        self.updated_at = now;
    }

    /// The server rejected an attempt that was sent at this queue depth: it holds more than was
    /// known.
    pub(crate) fn on_rejected(&mut self, queue_depth: f64, now: Micros) {
        self.in_flight_from_others = self.in_flight_from_others.max(queue_depth + 1.0);
        self.updated_at = now;
    }

    /// The server restarted, and holds nothing.
    pub(crate) fn on_restarted(&mut self) {
        self.in_flight_from_others = 0.0;
        self.mean_reported = 0.0;
        self.mean_own = 0.0;
    }
}
