//! What a fault does to one of the simulator's servers.

use crate::event_log::{ListedStatus, ServerState};
use crate::scenario::{Fault, FaultKind};
use crate::server_model::State;
use crate::simulator::Simulator;
use crate::simulator::server::Server;

impl Simulator<'_> {
    pub(super) fn on_server_fault(&mut self, number: u32, fault: &Fault, starts: bool) {
        let server = &mut self.servers[number as usize];
        let share = if starts { fault.share } else { 0.0 };
        match (fault.kind, starts) {
            (FaultKind::Pause, _) => self.on_pause(number, starts),
            (FaultKind::Slow, _) => self.on_slowdown(number, starts.then_some(fault.factor)),
            (FaultKind::ErrorResponses, _) => {
                server.model.set_error_rate(starts.then_some(fault.share))
            }
            (FaultKind::MalformedResponses, _) => server.set_malformed_share(share),
            (FaultKind::ConnectionResets, _) => server.set_reset_share(share),
            (FaultKind::Crash, true) => self.on_crash(number),
            (FaultKind::Silence, true) => self.on_silence(number),
            (FaultKind::Crash | FaultKind::Silence, false) => self.restart_server(number),
            (FaultKind::Drain | FaultKind::Replace, true) => self.on_drain(number),
            (FaultKind::Drain, false) => self.on_drained(number),
            (FaultKind::Replace, false) => self.replace_server(number),
            _ => {}
        }
        self.apply_server_events(number);
    }

    fn on_pause(&mut self, number: u32, starts: bool) {
        let (from, to, recorded) = if starts {
            (State::Up, State::Paused, ServerState::Paused)
        } else {
            (State::Paused, State::Up, ServerState::Up)
        };
        let now = self.timeline.now();
        let model = &mut self.servers[number as usize].model;
        if model.state() == from {
            model.set_state(now, to, &mut self.server_events);
            self.record_server_state(number, recorded);
        }
    }

    /// Slows a server by a factor, or ends its slowness.
    fn on_slowdown(&mut self, number: u32, factor: Option<f64>) {
        let now = self.timeline.now();
        let model = &mut self.servers[number as usize].model;
        model.set_slowdown(now, factor.unwrap_or(1.0), &mut self.server_events);
        let state = if factor.is_some() {
            ServerState::Slow
        } else {
            ServerState::Up
        };
        self.record_server_state(number, state);
    }

    fn on_crash(&mut self, number: u32) {
        self.record_server_state(number, ServerState::Down);
        self.end_server_process(number);
        let notice_ms = self.scenario.discovery.notice_ms;
        self.announce(number, ListedStatus::Gone, notice_ms);
    }

    fn on_silence(&mut self, number: u32) {
        self.record_server_state(number, ServerState::Silent);
        let now = self.timeline.now();
        let server = &mut self.servers[number as usize];
        server.on_machine_vanished(now, &mut self.server_events);
        let notice_ms = self.scenario.discovery.silent_notice_ms;
        self.announce(number, ListedStatus::Gone, notice_ms);
    }

    fn on_drain(&mut self, number: u32) {
        self.servers[number as usize].on_drain();
        self.record_server_state(number, ServerState::Draining);
        let notice_ms = self.scenario.discovery.notice_ms;
        self.announce(number, ListedStatus::Draining, notice_ms);
    }

    /// A drained server ends, and is back at once, cold.
    fn on_drained(&mut self, number: u32) {
        self.end_server_process(number);
        self.record_server_state(number, ServerState::Down);
        self.restart_server(number);
    }

    fn restart_server(&mut self, number: u32) {
        let now = self.timeline.now();
        let server = &mut self.servers[number as usize];
        let lost = server.on_restarted(now, &mut self.server_events);
        self.reset_attempts(lost);
        self.record_server_state(number, ServerState::Cold);
        let add_ms = self.scenario.discovery.add_ms;
        self.announce(number, ListedStatus::Ready, add_ms);
    }

    /// A new server takes the place of one that has drained.
    fn replace_server(&mut self, old: u32) {
        let (scenario, now) = (self.scenario, self.timeline.now());
        self.end_server_process(old);
        self.record_server_state(old, ServerState::Down);
        self.announce(old, ListedStatus::Gone, scenario.discovery.notice_ms);
        let number = self.servers.len();
        let replaced = &self.servers[old as usize];
        let (machine_type, zone) = (replaced.model.machine_type().clone(), replaced.zone);
        let server = Server::new(scenario, &machine_type, number, zone, now, true);
        self.servers.push(server);
        let number = number as u32;
        self.record_server_state(number, ServerState::Cold);
        self.announce(number, ListedStatus::Ready, scenario.discovery.add_ms);
    }
}
