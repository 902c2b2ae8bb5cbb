//! The estimators of the whole fleet, and their update by responses.

use crate::estimators::estimates::Estimates;
use crate::estimators::latency::LatencyEstimator;
use crate::estimators::utilization::UtilizationEstimator;
use crate::estimators::workload::WorkloadEstimator;
use crate::policy::load_source::LoadSource;
use crate::state::{InFlightAttempt, ServerState};
use crate::{Micros, Settings};

/// The estimators of the whole fleet; those of each server are in [`ServerState`].
pub(crate) struct Estimators {
    /// Rate, work and priority weight of this balancer's requests.
    pub(crate) workload: WorkloadEstimator,
    /// Service times of the fleet and of each machine type.
    pub(crate) latency: LatencyEstimator,
    /// Utilization of the fleet, from load reports.
    pub(crate) utilization: UtilizationEstimator,
}

impl Estimators {
    /// Creates estimators without observations; `shortest_objective` is in microseconds.
    pub(crate) fn new(shortest_objective: f64) -> Self {
        Self {
            workload: WorkloadEstimator::new(),
            latency: LatencyEstimator::new(shortest_objective),
            utilization: UtilizationEstimator::new(),
        }
    }

    /// Updates the service times with a response that took `latency` microseconds.
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
