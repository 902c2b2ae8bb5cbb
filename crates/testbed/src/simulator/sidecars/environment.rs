//! What a sidecar reaches beside its own state.

use crate::index::{ClassIndex, ServerIndex, SidecarIndex};
use crate::scenario::Micros;
use crate::simulator::attempts::Attempts;
use crate::simulator::context::Context;
use crate::simulator::discovery::Discovery;
use crate::simulator::fleet::Fleet;
use crate::simulator::network::Network;

/// The components that a sidecar uses: not the clients, to whom it responds by events, and not the
/// other sidecars.
pub(in crate::simulator) struct Environment<'r, 'a> {
    pub(in crate::simulator) context: &'r mut Context<'a>,
    pub(in crate::simulator) network: &'r mut Network,
    pub(in crate::simulator) attempts: &'r mut Attempts,
    pub(in crate::simulator) fleet: &'r mut Fleet,
    pub(in crate::simulator) discovery: &'r mut Discovery,
}

impl Environment<'_, '_> {
    /// One way from a sidecar to a server in microseconds, drawn.
    pub(super) fn draw_delay(&mut self, sidecar: SidecarIndex, server: ServerIndex) -> Micros {
        let zone = self.fleet.zone(server);
        self.network
            .draw_delay(sidecar, zone, self.context.scenario())
    }

    /// Work of one attempt at a request's work, drawn; in microseconds of a standard core.
    pub(super) fn draw_attempt_work(
        &mut self,
        sidecar: SidecarIndex,
        class: ClassIndex,
        work: f64,
    ) -> f64 {
        let scenario = self.context.scenario();
        self.network
            .draw_attempt_work(sidecar, class, work, scenario)
    }
}
