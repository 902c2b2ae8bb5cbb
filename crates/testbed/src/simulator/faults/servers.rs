//! What a fault does to one of the simulator's servers.

use crate::event_log::{ListedStatus, ServerState};
use crate::index::ServerIndex;
use crate::scenario::{Fault, FaultKind};
use crate::server_model::State;
use crate::simulator::Simulator;
use crate::simulator::fleet::Server;

impl Simulator<'_> {
    pub(super) fn on_server_fault(
        &mut self,
        server_index: ServerIndex,
        fault: &Fault,
        starts: bool,
    ) {
        let server = &mut self.servers[server_index.index()];
        let share = if starts { fault.share } else { 0.0 };
        match (fault.kind, starts) {
            (FaultKind::Pause, _) => self.on_pause(server_index, starts),
            (FaultKind::Slow, _) => self.on_slowdown(server_index, starts.then_some(fault.factor)),
            (FaultKind::ErrorResponses, _) => {
                server.model.set_error_rate(starts.then_some(fault.share))
            }
            (FaultKind::MalformedResponses, _) => server.set_malformed_share(share),
            (FaultKind::ConnectionResets, _) => server.set_reset_share(share),
            (FaultKind::Crash, true) => self.on_crash(server_index),
            (FaultKind::Silence, true) => self.on_silence(server_index),
            (FaultKind::Crash | FaultKind::Silence, false) => self.restart_server(server_index),
            (FaultKind::Drain | FaultKind::Replace, true) => self.on_drain(server_index),
            (FaultKind::Drain, false) => self.on_drained(server_index),
            (FaultKind::Replace, false) => self.replace_server(server_index),
            _ => {}
        }
        self.apply_server_events(server_index);
    }

    fn on_pause(&mut self, server_index: ServerIndex, starts: bool) {
        let (from, to, recorded) = if starts {
            (State::Up, State::Paused, ServerState::Paused)
        } else {
            (State::Paused, State::Up, ServerState::Up)
        };
        let now = self.context.now();
        let model = &mut self.servers[server_index.index()].model;
        if model.state() == from {
            model.set_state(now, to, &mut self.server_events);
            self.record_server_state(server_index, recorded);
        }
    }

    /// Slows a server by a factor, or ends its slowness.
    fn on_slowdown(&mut self, server_index: ServerIndex, factor: Option<f64>) {
        let now = self.context.now();
        let model = &mut self.servers[server_index.index()].model;
        model.set_slowdown(now, factor.unwrap_or(1.0), &mut self.server_events);
        let state = if factor.is_some() {
            ServerState::Slow
        } else {
            ServerState::Up
        };
        self.record_server_state(server_index, state);
    }

    fn on_crash(&mut self, server_index: ServerIndex) {
        self.record_server_state(server_index, ServerState::Down);
        self.end_server_process(server_index);
        let notice_ms = self.context.scenario().discovery.notice_ms;
        self.announce(server_index, ListedStatus::Gone, notice_ms);
    }

    fn on_silence(&mut self, server_index: ServerIndex) {
        self.record_server_state(server_index, ServerState::Silent);
        let now = self.context.now();
        let server = &mut self.servers[server_index.index()];
        server.on_machine_vanished(now, &mut self.server_events);
        let notice_ms = self.context.scenario().discovery.silent_notice_ms;
        self.announce(server_index, ListedStatus::Gone, notice_ms);
    }

    fn on_drain(&mut self, server_index: ServerIndex) {
        self.servers[server_index.index()].on_drain();
        self.record_server_state(server_index, ServerState::Draining);
        let notice_ms = self.context.scenario().discovery.notice_ms;
        self.announce(server_index, ListedStatus::Draining, notice_ms);
    }

    /// A drained server ends, and is back at once, cold.
    fn on_drained(&mut self, server_index: ServerIndex) {
        self.end_server_process(server_index);
        self.record_server_state(server_index, ServerState::Down);
        self.restart_server(server_index);
    }

    fn restart_server(&mut self, server_index: ServerIndex) {
        let now = self.context.now();
        let server = &mut self.servers[server_index.index()];
        let lost = server.on_restarted(now, &mut self.server_events);
        self.reset_attempts(lost);
        self.record_server_state(server_index, ServerState::Cold);
        let add_ms = self.context.scenario().discovery.add_ms;
        self.announce(server_index, ListedStatus::Ready, add_ms);
    }

    /// A new server takes the place of one that has drained.
    fn replace_server(&mut self, old: ServerIndex) {
        let (scenario, now) = (self.context.scenario(), self.context.now());
        self.end_server_process(old);
        self.record_server_state(old, ServerState::Down);
        self.announce(old, ListedStatus::Gone, scenario.discovery.notice_ms);
        let server_index = ServerIndex::from_position(self.servers.len());
        let replaced = &self.servers[old.index()];
        let (machine_type, zone) = (replaced.model.machine_type().clone(), replaced.zone);
        let server = Server::new(scenario, &machine_type, server_index, zone, now, true);
        self.servers.push(server);
        self.record_server_state(server_index, ServerState::Cold);
        self.announce(server_index, ListedStatus::Ready, scenario.discovery.add_ms);
    }
}
