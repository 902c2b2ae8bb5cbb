//! The simulator's servers, and everything on the way to them and back.
//!
//! This file owns a server's state. `attempts` is an attempt's way to the server, `connecting` its
//! connection, `results` its way back, `model` what the server model does by itself,
//! `health_checks` the way of a health check.

mod attempts;
mod connecting;
mod health_checks;
mod model;
mod results;

use std::collections::BTreeMap;

use super::Simulator;
use super::discovery::ListedEndpoint;
use super::event::SimulatorEvent;
use super::request::AttemptKey;
use crate::event_log::{ListedStatus, LogEvent, ServerState};
use crate::index::ServerIndex;
use crate::scenario::{MachineType, Micros, Scenario, from_ms};
use crate::server_model::{Event as ServerModelEvent, ServerModel, State};

/// How the network answers for a server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Reachability {
    /// Its process answers.
    Open,
    /// Its process is gone: connections are refused.
    Refusing,
    /// Its machine is gone: nothing responds.
    Silent,
}

/// A server: its model, and what the network does for it.
pub(super) struct Server {
    pub(super) model: ServerModel,
    pub(super) zone: u32,
    reachability: Reachability,
    /// Counts its starts: connections belong to one.
    start: u32,
    /// When its process started; 0 where it was there before the run.
    pub(super) started_at: Micros,
    /// It rejects what is new.
    draining: bool,
    /// Attempts that it works on, by their jobs.
    jobs: BTreeMap<u64, AttemptKey>,
    /// Attempts that were sent into silence.
    blackholed: Vec<AttemptKey>,
    /// Share of its responses that is malformed.
    malformed_share: f64,
    /// Share of its connections that is reset during a request.
    reset_share: f64,
    /// Counts the changes of its next event: only the last one counts.
    generation: u32,
    /// When its model has something to do by itself.
    next_event_at: Option<Micros>,
}

impl Server {
    /// A server of a machine type, its speed drawn; a cold one has been started now.
    pub(super) fn new(
        scenario: &Scenario,
        machine_type: &MachineType,
        index: ServerIndex,
        zone: u32,
        now: Micros,
        cold: bool,
    ) -> Self {
        Self {
            model: ServerModel::from_scenario(scenario, machine_type, index, now, cold),
            zone,
            reachability: Reachability::Open,
            start: 0,
            started_at: if cold { now.max(1) } else { 0 },
            draining: false,
            jobs: BTreeMap::new(),
            blackholed: Vec::new(),
            malformed_share: 0.0,
            reset_share: 0.0,
            generation: 0,
            next_event_at: None,
        }
    }

    /// The start to which new connections belong; absent where they are refused.
    pub(super) fn open_start(&self) -> Option<u32> {
        (self.reachability != Reachability::Refusing).then_some(self.start)
    }

    /// A connection that belongs to a start is closed; one to an earlier start went with it.
    pub(super) fn close_connection(&mut self, start: u32) {
        if start == self.start {
            self.model.disconnect();
        }
    }

    /// From now on it rejects what is new.
    pub(super) fn on_drain(&mut self) {
        self.draining = true;
    }

    /// Sets the share of its responses that is malformed.
    pub(super) fn set_malformed_share(&mut self, share: f64) {
        self.malformed_share = share;
    }

    /// Sets the share of its connections that is reset amid a request.
    pub(super) fn set_reset_share(&mut self, share: f64) {
        self.reset_share = share;
    }

    /// Its process ends with resets; gives back the attempts that it worked on.
    pub(super) fn on_process_ended(
        &mut self,
        now: Micros,
        events: &mut Vec<ServerModelEvent>,
    ) -> Vec<AttemptKey> {
        self.reachability = Reachability::Refusing;
        self.start += 1;
        self.model.set_state(now, State::Down, events);
        std::mem::take(&mut self.jobs).into_values().collect()
    }

    /// Its machine vanishes without a reset.
    pub(super) fn on_machine_vanished(&mut self, now: Micros, events: &mut Vec<ServerModelEvent>) {
        self.reachability = Reachability::Silent;
        self.model.set_state(now, State::Down, events);
        let held = std::mem::take(&mut self.jobs).into_values();
        self.blackholed.extend(held);
    }

    /// It is back, cold; gives back the attempts that went into silence.
    pub(super) fn on_restarted(
        &mut self,
        now: Micros,
        events: &mut Vec<ServerModelEvent>,
    ) -> Vec<AttemptKey> {
        self.start += 1;
        self.reachability = Reachability::Open;
        self.draining = false;
        self.started_at = now;
        self.model.set_state(now, State::Up, events);
        std::mem::take(&mut self.blackholed)
    }
}

impl Simulator<'_> {
    pub(super) fn build_servers(&mut self) {
        let scenario = self.context.scenario();
        for (position, (machine_type, group)) in scenario.fleet().into_iter().enumerate() {
            let index = ServerIndex::from_position(position);
            let zone = scenario.server_zone(group, index);
            let server = Server::new(scenario, machine_type, index, zone, 0, group.cold);
            let started_at = server.started_at;
            self.servers.push(server);
            let state = if group.cold {
                ServerState::Cold
            } else {
                ServerState::Up
            };
            self.record_server_state(index, state);
            self.discovery.add_initial(index, started_at);
        }
    }

    /// Something happened to a server that discovery notices after a while, in milliseconds.
    pub(super) fn announce(&mut self, server: ServerIndex, status: ListedStatus, notice_ms: f64) {
        let noticed = SimulatorEvent::ListChange(ListedEndpoint {
            server,
            status,
            incarnation: self.servers[server.index()].started_at,
        });
        self.context.after(from_ms(notice_ms), noticed);
    }

    pub(super) fn record_server_state(&mut self, server: ServerIndex, state: ServerState) {
        let zone = self.servers[server.index()].zone;
        self.context.record(LogEvent::ServerStateChanged {
            server,
            zone,
            state,
        });
    }
}
