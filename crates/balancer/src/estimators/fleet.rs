//! The estimators of the fleet together.

use crate::estimators::estimates::Estimates;
use crate::estimators::latency::LatencyEstimator;
use crate::estimators::utilization::UtilizationEstimator;
use crate::estimators::workload::WorkloadEstimator;
use crate::policy::load_source::LoadSource;
use crate::state::{InFlightAttempt, ServerState};
use crate::{Micros, Settings};

/// The estimators of the fleet; those of each server are in [`ServerState`].
pub(crate) struct Estimators {
    /// The requests of this balancer.
    pub(crate) workload: WorkloadEstimator,
    /// Service times.
    pub(crate) latency: LatencyEstimator,
    /// How full the fleet is, from load reports.
    pub(crate) utilization: UtilizationEstimator,
}

impl Estimators {
    /// Estimators that have seen nothing; `shortest_objective` is in microseconds.
    pub(crate) fn new(shortest_objective: f64) -> Self {
        Self {
            workload: WorkloadEstimator::new(),
            latency: LatencyEstimator::new(shortest_objective),
            utilization: UtilizationEstimator::new(),
        }
    }

    /// A server responded to an attempt after so many microseconds.
    pub(crate) fn on_response(
        &mut self,
        server: &mut ServerState,
        attempt: &InFlightAttempt,
        latency: f64,
        now: Micros,
        settings: &Settings,
    ) {
        let estimates = Estimates {
            settings,
            now,
            latency: &self.latency,
            is_load_known: settings.load_source() != LoadSource::Unknown,
        };
        let service_time = estimates.observed_service_time(server, attempt, latency);
        let machine_factor = estimates.machine_latency_factor(server);
        let machine = server.endpoint().machine_type;
        self.latency.on_response(
            &mut server.latency,
            machine,
            machine_factor,
            service_time,
            now,
        );
    }
}
