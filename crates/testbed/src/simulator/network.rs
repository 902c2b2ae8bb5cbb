//! The network between sidecars and servers: how long a way takes, and what is drawn on it.
//!
//! Owns each sidecar's zone and its random stream. What travels, and what happens at either end, is
//! the sidecars' and the fleet's.

use crate::index::{ClassIndex, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Micros, Scenario, from_ms};

/// A sidecar's place in the network.
struct Origin {
    zone: u32,
    /// Draws delays, and the noise of attempts.
    random: RandomStream,
}

/// The ways from each sidecar to the servers.
pub(super) struct Network {
    origins: Vec<Origin>,
}

impl Network {
    /// The network of a scenario's sidecars.
    pub(super) fn new(scenario: &Scenario) -> Self {
        let origin = |sidecar: SidecarIndex| Origin {
            zone: scenario.sidecar_zone(sidecar),
            random: RandomStream::new(scenario.seed, StreamId::Network, sidecar.index()),
        };
        Self {
            origins: SidecarIndex::all(scenario.sidecars.count)
                .map(origin)
                .collect(),
        }
    }

    /// Whether the way from a sidecar to a server in this zone leads out of the sidecar's zone.
    pub(super) fn is_cross_zone(&self, sidecar: SidecarIndex, server_zone: u32) -> bool {
        self.origins[sidecar.index()].zone != server_zone
    }

    /// One way between a sidecar and a server in this zone in microseconds, drawn by the sidecar's
    /// stream.
    pub(super) fn draw_delay(
        &mut self,
        sidecar: SidecarIndex,
        server_zone: u32,
        scenario: &Scenario,
    ) -> Micros {
        let network = &scenario.network;
        let base_ms = if self.is_cross_zone(sidecar, server_zone) {
            network.cross_ms
        } else {
            network.same_ms
        };
        let random = &mut self.origins[sidecar.index()].random;
        from_ms(base_ms * (1.0 + network.jitter * random.uniform()))
    }

    /// Work of one attempt, which differs from the request's by its class's noise; in microseconds
    /// of a standard core.
    pub(super) fn draw_attempt_work(
        &mut self,
        sidecar: SidecarIndex,
        class: ClassIndex,
        work: f64,
        scenario: &Scenario,
    ) -> f64 {
        let class = scenario.class.get(class.index());
        let noise = class.map_or(0.0, |class| class.noise);
        if noise > 0.0 {
            let random = &mut self.origins[sidecar.index()].random;
            // The subtrahend keeps the mean of the lognormal factor at 1.
            work * (noise * random.normal() - noise * noise / 2.0).exp()
        } else {
            work
        }
    }
}

#[cfg(test)]
mod tests;
