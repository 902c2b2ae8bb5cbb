//! How full the fleet is, from load reports.

#[cfg(test)]
mod tests;

use crate::estimators::smoothing::FLEET_SMOOTHING_FACTOR;

/// Utilization before the first load report, a share. Inherited with the first version of the
/// module; its source was not recorded.
const INITIAL_UTILIZATION: f64 = 0.5;
/// Utilization above which a fleet is filling up, a share: its fullness rises from 0 here to 1
/// where all servers hold a request. Inherited with the first version of the module; its source was
/// not recorded.
const HIGH_UTILIZATION: f64 = 0.8;

/// Mean share of the servers that hold a request, from load reports.
pub(crate) struct UtilizationEstimator {
    utilization: f64,
}

impl UtilizationEstimator {
    /// An estimator that has seen no load report.
    pub(crate) fn new() -> Self {
        Self {
            utilization: INITIAL_UTILIZATION,
        }
    }

    /// The share, from 0 to 1.
    pub(crate) fn utilization(&self) -> f64 {
        self.utilization
    }

    /// From 0 to 1 as the fleet fills up.
    pub(crate) fn fullness(&self) -> f64 {
        ((self.utilization - HIGH_UTILIZATION) / (1.0 - HIGH_UTILIZATION)).clamp(0.0, 1.0)
    }

    /// A server reported the requests it holds.
    pub(crate) fn on_load_report(&mut self, in_flight: f64) {
        self.utilization += FLEET_SMOOTHING_FACTOR * (in_flight.min(1.0) - self.utilization);
    }
}
