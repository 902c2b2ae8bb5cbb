//! Service times of the fleet, and the latency factors of servers and machine types.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::estimators::decaying_rate::decay_factor;
use crate::estimators::smoothing::{FLEET_SMOOTHING_FACTOR, SERVER_SMOOTHING_FACTOR};
use crate::{MachineType, Micros};

/// Half-life of the difference between a server's latency factor and that of its machine type, in
/// microseconds. It is short because other workloads on the machine come and go within seconds.
const LATENCY_FACTOR_HALF_LIFE: f64 = 3_000_000.0;
/// Upper bound of a latency factor, and inverse of its lower bound. Wider, and one response moves a
/// server's factor too far; narrower, and a slow machine gets more than it can handle. Other bounds
/// change the testbed's results by less than 0.003.
const MAX_LATENCY_FACTOR: f64 = 4.0;
/// Mean service time before any response, as a fraction of the shortest latency objective. Only the
/// first responses depend on it.
const INITIAL_SERVICE_TIME_FRACTION: f64 = 1.0 / 8.0;

/// Latency of one server relative to the fleet's: a factor of 2 means twice as long for the same
/// load.
pub(crate) struct ServerLatency {
    factor: f64,
    updated_at: Micros,
}

impl ServerLatency {
    /// Creates the factor of a server without responses, from its machine type.
    pub(crate) fn new(machine: MachineType) -> Self {
        Self {
            factor: 1.0 / machine.speed,
            updated_at: 0,
        }
    }
}

/// Service times of the fleet, and latency factors of the machine types.
pub(crate) struct LatencyEstimator {
    mean_service_time: f64,
    factor_by_machine_type: BTreeMap<u32, f64>,
}

impl LatencyEstimator {
    /// Creates an estimator without responses; `shortest_objective` is in microseconds.
    pub(crate) fn new(shortest_objective: f64) -> Self {
        let mean_service_time = shortest_objective * INITIAL_SERVICE_TIME_FRACTION;
        Self {
            mean_service_time,
            factor_by_machine_type: BTreeMap::new(),
        }
    }

    /// Returns the mean service time of an average request on an otherwise idle server, in
    /// microseconds.
    pub(crate) fn mean_service_time(&self) -> f64 {
        self.mean_service_time
    }

    /// Returns the latency factor of a server, which decays to that of its machine type.
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

    /// Returns the latency factor of a machine type. It is learned from all servers of the type,
    /// because a balancer that rarely sends to a given server would learn too late from that server
    /// alone.
    pub(crate) fn machine_latency_factor(&self, machine: MachineType) -> f64 {
        self.factor_by_machine_type
            .get(&machine.id)
            .copied()
            .unwrap_or(1.0 / machine.speed)
    }

    /// Updates the estimates with a response; `machine_factor` is the latency factor of the
    /// server's machine type, `service_time` is in microseconds.
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
        let previous = self.latency_factor(server, machine_factor, now);
        server.factor = previous + SERVER_SMOOTHING_FACTOR * (factor - previous);
        server.updated_at = now;
        self.factor_by_machine_type.insert(
            machine.id,
            machine_factor + FLEET_SMOOTHING_FACTOR * (factor - machine_factor),
        );
        let bounded = service_time.min(MAX_LATENCY_FACTOR * self.mean_service_time);
        self.mean_service_time += FLEET_SMOOTHING_FACTOR * (bounded - self.mean_service_time);
    }
}
