//! What faults, drains and restarts change at a server.

use super::{Reachability, Server};
use crate::scenario::Micros;
use crate::server_model::{RunState, ServerModelEvent};
use crate::simulator::attempts::AttemptKey;

impl Server {
    /// From now on it rejects what is new.
    pub(in crate::simulator::fleet) fn on_drain(&mut self) {
        self.draining = true;
    }

    /// Sets the share of its responses that is malformed.
    pub(in crate::simulator::fleet) fn set_malformed_share(&mut self, share: f64) {
        self.malformed_share = share;
    }

    /// Sets the share of its connections that is reset amid a request.
    pub(in crate::simulator::fleet) fn set_reset_share(&mut self, share: f64) {
        self.reset_share = share;
    }

    /// Its process ends with resets; gives back the attempts that it worked on.
    pub(in crate::simulator::fleet) fn on_process_ended(
        &mut self,
        now: Micros,
        events: &mut Vec<ServerModelEvent>,
    ) -> Vec<AttemptKey> {
        self.reachability = Reachability::Refusing;
        self.start += 1;
        self.model.set_state(now, RunState::Down, events);
        std::mem::take(&mut self.jobs).into_values().collect()
    }

    /// Its machine vanishes without a reset.
    pub(in crate::simulator::fleet) fn on_machine_vanished(
        &mut self,
        now: Micros,
        events: &mut Vec<ServerModelEvent>,
    ) {
        self.reachability = Reachability::Silent;
        self.model.set_state(now, RunState::Down, events);
        let held = std::mem::take(&mut self.jobs).into_values();
        self.blackholed.extend(held);
    }

    /// It is back, cold; gives back the attempts that went into silence.
    pub(in crate::simulator::fleet) fn on_restarted(
        &mut self,
        now: Micros,
        events: &mut Vec<ServerModelEvent>,
    ) -> Vec<AttemptKey> {
        self.start += 1;
        self.reachability = Reachability::Open;
        self.draining = false;
        self.started_at = now;
        self.model.set_state(now, RunState::Up, events);
        std::mem::take(&mut self.blackholed)
    }
}
