//! Applies faults to servers.

use super::Fleet;
use super::attempts;
use super::server::Server;
use crate::event_log::{ListedStatus, ServerState};
use crate::index::ServerIndex;
use crate::scenario::{Fault, FaultKind};
use crate::server_model::RunState;
use crate::simulator::attempts::Attempts;
use crate::simulator::context::Context;

impl Fleet {
    /// Starts or ends a fault at one of its target servers.
    pub(in crate::simulator) fn on_fault(
        &mut self,
        server_index: ServerIndex,
        fault: &Fault,
        starts: bool,
        attempts: &mut Attempts,
        context: &mut Context<'_>,
    ) {
        if starts {
            self.start_fault(server_index, fault, attempts, context);
        } else {
            self.end_fault(server_index, fault, attempts, context);
        }
        self.apply_model_events(server_index, attempts, context);
    }

    fn start_fault(
        &mut self,
        server_index: ServerIndex,
        fault: &Fault,
        attempts: &Attempts,
        context: &mut Context<'_>,
    ) {
        let server = self.server_mut(server_index);
        match fault.kind {
            FaultKind::Pause => self.pause(server_index, context),
            FaultKind::Slow => self.set_slowdown(server_index, Some(fault.factor), context),
            FaultKind::ErrorResponses => server.model.set_error_rate(Some(fault.share)),
            FaultKind::MalformedResponses => server.set_malformed_share(fault.share),
            FaultKind::ConnectionResets => server.set_reset_share(fault.share),
            FaultKind::Crash => self.crash(server_index, attempts, context),
            FaultKind::Silence => self.silence(server_index, context),
            FaultKind::Drain | FaultKind::Replace => self.drain(server_index, context),
            _ => {}
        }
    }

    fn end_fault(
        &mut self,
        server_index: ServerIndex,
        fault: &Fault,
        attempts: &Attempts,
        context: &mut Context<'_>,
    ) {
        let server = self.server_mut(server_index);
        match fault.kind {
            FaultKind::Pause => self.resume(server_index, context),
            FaultKind::Slow => self.set_slowdown(server_index, None, context),
            FaultKind::ErrorResponses => server.model.set_error_rate(None),
            FaultKind::MalformedResponses => server.set_malformed_share(0.0),
            FaultKind::ConnectionResets => server.set_reset_share(0.0),
            FaultKind::Crash | FaultKind::Silence => self.restart(server_index, attempts, context),
            FaultKind::Drain => self.restart_drained(server_index, attempts, context),
            FaultKind::Replace => self.replace(server_index, attempts, context),
            _ => {}
        }
    }

    fn pause(&mut self, server_index: ServerIndex, context: &mut Context<'_>) {
        let model = &mut self.servers[server_index.index()].model;
        if model.state() == RunState::Up {
            model.set_state(context.now(), RunState::Paused, &mut self.model_events);
            self.record_state(server_index, ServerState::Paused, context);
        }
    }

    fn resume(&mut self, server_index: ServerIndex, context: &mut Context<'_>) {
        let model = &mut self.servers[server_index.index()].model;
        if model.state() == RunState::Paused {
            model.set_state(context.now(), RunState::Up, &mut self.model_events);
            self.record_state(server_index, ServerState::Up, context);
        }
    }

    /// Slows a server by a factor; `None` restores the normal speed.
    fn set_slowdown(
        &mut self,
        server_index: ServerIndex,
        factor: Option<f64>,
        context: &mut Context<'_>,
    ) {
        let model = &mut self.servers[server_index.index()].model;
        model.set_slowdown(context.now(), factor.unwrap_or(1.0), &mut self.model_events);
        let state = if factor.is_some() {
            ServerState::Slow
        } else {
            ServerState::Up
        };
        self.record_state(server_index, state, context);
    }

    fn crash(&mut self, server_index: ServerIndex, attempts: &Attempts, context: &mut Context<'_>) {
        self.record_state(server_index, ServerState::Down, context);
        self.end_process(server_index, attempts, context);
        let notice_ms = context.scenario().discovery.notice_ms;
        self.schedule_list_change(server_index, ListedStatus::Gone, notice_ms, context);
    }

    fn silence(&mut self, server_index: ServerIndex, context: &mut Context<'_>) {
        self.record_state(server_index, ServerState::Silent, context);
        let server = &mut self.servers[server_index.index()];
        server.on_machine_lost(context.now(), &mut self.model_events);
        let notice_ms = context.scenario().discovery.silent_notice_ms;
        self.schedule_list_change(server_index, ListedStatus::Gone, notice_ms, context);
    }

    fn drain(&mut self, server_index: ServerIndex, context: &mut Context<'_>) {
        self.server_mut(server_index).on_drain();
        self.record_state(server_index, ServerState::Draining, context);
        let notice_ms = context.scenario().discovery.notice_ms;
        self.schedule_list_change(server_index, ListedStatus::Draining, notice_ms, context);
    }

    /// Ends the process of a drained server and restarts it at once, cold.
    fn restart_drained(
        &mut self,
        server_index: ServerIndex,
        attempts: &Attempts,
        context: &mut Context<'_>,
    ) {
        self.end_process(server_index, attempts, context);
        self.record_state(server_index, ServerState::Down, context);
        self.restart(server_index, attempts, context);
    }

    fn restart(
        &mut self,
        server_index: ServerIndex,
        attempts: &Attempts,
        context: &mut Context<'_>,
    ) {
        let server = &mut self.servers[server_index.index()];
        let lost = server.on_restarted(context.now(), &mut self.model_events);
        attempts::reset_attempts(lost, attempts, context);
        self.record_state(server_index, ServerState::Cold, context);
        let add_ms = context.scenario().discovery.add_ms;
        self.schedule_list_change(server_index, ListedStatus::Ready, add_ms, context);
    }

    /// Removes a drained server and starts a new one in its place.
    fn replace(&mut self, old: ServerIndex, attempts: &Attempts, context: &mut Context<'_>) {
        let scenario = context.scenario();
        self.end_process(old, attempts, context);
        self.record_state(old, ServerState::Down, context);
        self.schedule_list_change(
            old,
            ListedStatus::Gone,
            scenario.discovery.notice_ms,
            context,
        );
        let new = ServerIndex::from_position(self.servers.len());
        let machine_type = self.machine_type(old).clone();
        let zone = self.zone(old);
        let server = Server::new(scenario, &machine_type, new, zone, context.now(), true);
        self.servers.push(server);
        self.record_state(new, ServerState::Cold, context);
        self.schedule_list_change(new, ListedStatus::Ready, scenario.discovery.add_ms, context);
    }
}
