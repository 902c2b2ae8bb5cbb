//! Changes to a server by faults, drains and restarts.

use super::{Reachability, Server};
use crate::scenario::Micros;
use crate::server_model::{RunState, ServerModelEvent};
use crate::simulator::attempts::AttemptKey;

impl Server {
    /// Starts draining: new attempts are rejected from now on.
    pub(in crate::simulator::fleet) fn on_drain(&mut self) {
        self.draining = true;
    }

    /// Sets the fraction of responses that are malformed.
    pub(in crate::simulator::fleet) fn set_malformed_share(&mut self, share: f64) {
        self.malformed_share = share;
    }

    /// Sets the fraction of connections that are reset during an attempt.
    pub(in crate::simulator::fleet) fn set_reset_share(&mut self, share: f64) {
        self.reset_share = share;
    }

    /// Ends the process; returns the attempts in flight, whose connections are reset.
    pub(in crate::simulator::fleet) fn on_process_ended(
        &mut self,
        now: Micros,
        events: &mut Vec<ServerModelEvent>,
    ) -> Vec<AttemptKey> {
        self.reachability = Reachability::Refusing;
        self.start_number += 1;
        self.model.set_state(now, RunState::Down, events);
        std::mem::take(&mut self.jobs).into_values().collect()
    }

    /// The machine disappears without resetting its connections.
    pub(in crate::simulator::fleet) fn on_machine_lost(
        &mut self,
        now: Micros,
        events: &mut Vec<ServerModelEvent>,
    ) {
        self.reachability = Reachability::Silent;
        self.model.set_state(now, RunState::Down, events);
        let in_flight = std::mem::take(&mut self.jobs).into_values();
        self.blackholed.extend(in_flight);
    }

    /// Starts the process again, cold; returns the attempts that were lost while the machine was
    /// gone.
    pub(in crate::simulator::fleet) fn on_restarted(
        &mut self,
        now: Micros,
        events: &mut Vec<ServerModelEvent>,
    ) -> Vec<AttemptKey> {
        self.start_number += 1;
        self.reachability = Reachability::Open;
        self.draining = false;
        self.started_at = now;
        self.model.set_state(now, RunState::Up, events);
        std::mem::take(&mut self.blackholed)
    }
}
