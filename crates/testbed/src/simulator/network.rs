//! The network between sidecars and servers: random delays, and the noise of attempts' work.
//!
//! Draws from one random stream per sidecar. `sidecars` and `fleet` schedule the messages and
//! handle their effects.

use crate::index::{ClassIndex, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Micros, Scenario, from_ms};

/// A sidecar's position in the network.
struct SidecarNode {
    zone: u32,
    /// Random stream of delays and of the noise of attempts' work.
    random: RandomStream,
}

/// The network paths from each sidecar to the servers.
pub(super) struct Network {
    sidecars: Vec<SidecarNode>,
}

impl Network {
    /// Creates the network of a scenario's sidecars.
    pub(super) fn new(scenario: &Scenario) -> Self {
        let node = |sidecar: SidecarIndex| SidecarNode {
            zone: scenario.sidecar_zone(sidecar),
            random: RandomStream::new(scenario.seed, StreamId::Network, sidecar.index()),
        };
        Self {
            sidecars: SidecarIndex::all(scenario.sidecars.count)
                .map(node)
                .collect(),
        }
    }

    /// Whether a server in this zone is outside the sidecar's zone.
    pub(super) fn is_cross_zone(&self, sidecar: SidecarIndex, server_zone: u32) -> bool {
        self.sidecars[sidecar.index()].zone != server_zone
    }

    /// Draws a one-way delay in microseconds between a sidecar and a server in this zone from the
    /// sidecar's random stream.
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
        let random = &mut self.sidecars[sidecar.index()].random;
        from_ms(base_ms * (1.0 + network.jitter * random.uniform()))
    }

    /// Draws the work of one attempt, which varies around the request's work by the noise of its
    /// class, in microseconds of a standard core.
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
            let random = &mut self.sidecars[sidecar.index()].random;
            // The subtrahend keeps the mean of the lognormal factor at 1.
            work * (noise * random.normal() - noise * noise / 2.0).exp()
        } else {
            work
        }
    }
}

#[cfg(test)]
mod tests;
