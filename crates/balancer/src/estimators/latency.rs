//! How long servers take, against each other and by machine type.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::estimators::decaying_rate::decay_factor;
use crate::estimators::smoothing::{FLEET_SMOOTHING_FACTOR, SERVER_SMOOTHING_FACTOR};
use crate::{MachineType, Micros};

/// Half-life of a server's latency factor, in microseconds, after which half of its distance to
/// that of its machine type is forgotten: neighbours on its machine come and go in seconds.
/// Inherited with the first version of the module; its source was not recorded.
const LATENCY_FACTOR_HALF_LIFE: f64 = 3_000_000.0;
/// A server counts as at most this many times faster or slower than the fleet. Wider, and one
/// response moves a server far; narrower, and a slow machine gets more than it can do. Other bounds
/// changed the testbed's results by less than 0.003. Inherited with the first version of the
/// module; its source was not recorded.
const MAX_LATENCY_FACTOR: f64 = 4.0;
/// Mean service time before any response, as a share of the shortest latency objective. Only the
/// first responses depend on it. Inherited with the first version of the module; its source was not
/// recorded.
const INITIAL_SERVICE_TIME_SHARE: f64 = 1.0 / 8.0;

/// The latency of one server against the fleet's: 2 where it takes twice as long for the same load.
pub(crate) struct ServerLatency {
    factor: f64,
    updated_at: Micros,
}

impl ServerLatency {
    /// A server of which only its machine type is known.
    pub(crate) fn new(machine: MachineType) -> Self {
        Self {
            factor: 1.0 / machine.speed,
            updated_at: 0,
        }
    }
}

/// Service times of the fleet and of each machine type.
pub(crate) struct LatencyEstimator {
    mean_service_time: f64,
    factor_by_machine_type: BTreeMap<u32, f64>,
}

impl LatencyEstimator {
    /// An estimator that has seen no response; `shortest_objective` is in microseconds.
    pub(crate) fn new(shortest_objective: f64) -> Self {
        let mean_service_time = shortest_objective * INITIAL_SERVICE_TIME_SHARE;
        Self {
            mean_service_time,
            factor_by_machine_type: BTreeMap::new(),
        }
    }

    /// Mean service time of a usual request on an otherwise idle server, in microseconds.
    pub(crate) fn mean_service_time(&self) -> f64 {
        self.mean_service_time
    }

    /// The latency factor of a server, which decays to that of its machine type.
    pub(crate) fn latency_factor(
        &self,
        server: &ServerLatency,
        machine_factor: f64,
        now: Micros,
    ) -> f64 {
        machine_factor
            + (server.factor - machine_factor)
                * decay_factor(now, server.updated_at, LATENCY_FACTOR_HALF_LIFE)
    }

    /// The latency factor of a machine type. What one server shows tells of all machines like it: a
    /// balancer that sends each server next to nothing would learn too late from the server itself.
    pub(crate) fn machine_latency_factor(&self, machine: MachineType) -> f64 {
        self.factor_by_machine_type
            .get(&machine.id)
            .copied()
            .unwrap_or(1.0 / machine.speed)
    }

    /// A server responded; `machine_factor` is the latency factor of its machine type,
    /// `service_time` in microseconds.
    pub(crate) fn on_response(
        &mut self,
        server: &mut ServerLatency,
        machine: MachineType,
        machine_factor: f64,
        service_time: f64,
        now: Micros,
    ) {
        let factor = (service_time / self.mean_service_time)
            .clamp(1.0 / MAX_LATENCY_FACTOR, MAX_LATENCY_FACTOR);
        let before = self.latency_factor(server, machine_factor, now);
        server.factor = before + SERVER_SMOOTHING_FACTOR * (factor - before);
        server.updated_at = now;
        self.factor_by_machine_type.insert(
            machine.id,
            machine_factor + FLEET_SMOOTHING_FACTOR * (factor - machine_factor),
        );
        let bounded = service_time.min(MAX_LATENCY_FACTOR * self.mean_service_time);
        self.mean_service_time += FLEET_SMOOTHING_FACTOR * (bounded - self.mean_service_time);
    }
}
