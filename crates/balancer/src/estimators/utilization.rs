//! Utilization of the fleet, from load reports.

#[cfg(test)]
mod tests;

use crate::estimators::smoothing::FLEET_SMOOTHING_FACTOR;

/// Utilization before the first load report.
const INITIAL_UTILIZATION: f64 = 0.5;
/// Utilization above which the fullness rises linearly, from 0 here to 1 at a utilization of 1.
const HIGH_UTILIZATION: f64 = 0.8;

/// Mean fraction of servers that hold a request, from load reports.
pub(crate) struct UtilizationEstimator {
    utilization: f64,
}

impl UtilizationEstimator {
    /// Creates an estimator without load reports.
    pub(crate) fn new() -> Self {
        Self {
            utilization: INITIAL_UTILIZATION,
        }
    }

    /// Returns the fraction, from 0 to 1.
    pub(crate) fn utilization(&self) -> f64 {
        self.utilization
    }

    /// Returns how close the fleet is to full utilization, from 0 to 1.
    pub(crate) fn fullness(&self) -> f64 {
        ((self.utilization - HIGH_UTILIZATION) / (1.0 - HIGH_UTILIZATION)).clamp(0.0, 1.0)
    }

    /// Records a load report: the requests in flight at one server.
    pub(crate) fn on_load_report(&mut self, in_flight: f64) {
        self.utilization += FLEET_SMOOTHING_FACTOR * (in_flight.min(1.0) - self.utilization);
    }
}
