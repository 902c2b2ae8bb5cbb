//! The components of the simulator that a sidecar's methods use.

use crate::index::{ClassIndex, ServerIndex, SidecarIndex};
use crate::scenario::Micros;
use crate::simulator::attempts::{AttemptDetails, Attempts};
use crate::simulator::context::Context;
use crate::simulator::discovery::Discovery;
use crate::simulator::fleet::Fleet;
use crate::simulator::network::Network;

/// Borrows the components that a sidecar's methods read or change, and the context. The clients are
/// not among them: a sidecar responds to clients through events.
pub(in crate::simulator) struct Components<'r, 'a> {
    pub(in crate::simulator) context: &'r mut Context<'a>,
    pub(in crate::simulator) network: &'r mut Network,
    pub(in crate::simulator) attempts: &'r mut Attempts,
    pub(in crate::simulator) fleet: &'r mut Fleet,
    pub(in crate::simulator) discovery: &'r mut Discovery,
}

impl Components<'_, '_> {
    /// Draws the one-way delay from a sidecar to a server, in microseconds.
    pub(super) fn draw_delay(&mut self, sidecar: SidecarIndex, server: ServerIndex) -> Micros {
        let zone = self.fleet.zone(server);
        self.network
            .draw_delay(sidecar, zone, self.context.scenario())
    }

    /// Draws the work of an attempt around the work of its request. If the attempt's server exists,
    /// also draws the delay to it.
    pub(super) fn draw_attempt(
        &mut self,
        details: &mut AttemptDetails,
        class: ClassIndex,
        server_exists: bool,
    ) {
        let sidecar = details.sidecar;
        // The delay is drawn before the work; another order would change the runs of every seed.
        if server_exists {
            details.delay = self.draw_delay(sidecar, details.server);
        }
        let scenario = self.context.scenario();
        details.work = self
            .network
            .draw_attempt_work(sidecar, class, details.work, scenario);
    }
}
