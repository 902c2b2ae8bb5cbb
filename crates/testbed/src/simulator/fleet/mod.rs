//! The simulator's fleet of servers: what happens to attempts and health checks at a server.
//!
//! Owns the servers and their random stream. `attempts` is an attempt at its server,
//! `health_checks` a health check, `model` what a server's model does by itself, `faults` what a
//! fault does. What a sidecar makes of a result, and when discovery lists a server, is theirs.

mod attempts;
mod faults;
mod health_checks;
mod model;
mod server;

use super::attempts::Attempts;
use super::context::Context;
use super::discovery::ListedEndpoint;
use super::event::SimulatorEvent;
use crate::conversion::u32_from_count;
use crate::event_log::{ListedStatus, LogEvent, ServerState};
use crate::index::ServerIndex;
use crate::random::{RandomStream, StreamId};
use crate::scenario::{MachineType, Micros, from_ms};
use crate::server_model::ServerModelEvent;

use server::Server;

/// All servers of a run, with those that replaced others in its course.
pub(super) struct Fleet {
    servers: Vec<Server>,
    /// Draws resets and malformed responses.
    random: RandomStream,
    /// Buffer of what a server's model did, until it is carried out.
    model_events: Vec<ServerModelEvent>,
}

impl Fleet {
    /// The servers of a scenario, whose states are recorded.
    pub(super) fn new(context: &mut Context<'_>) -> Self {
        let scenario = context.scenario();
        let mut fleet = Self {
            servers: Vec::new(),
            random: RandomStream::new(scenario.seed, StreamId::Machines, 0),
            model_events: Vec::new(),
        };
        for (position, (machine_type, group)) in scenario.fleet().into_iter().enumerate() {
            let index = ServerIndex::from_position(position);
            let zone = scenario.server_zone(group, index);
            let server = Server::new(scenario, machine_type, index, zone, 0, group.cold);
            fleet.servers.push(server);
            let state = if group.cold {
                ServerState::Cold
            } else {
                ServerState::Up
            };
            fleet.record_state(index, state, context);
        }
        fleet
    }

    /// Whether there is a server of this index.
    pub(super) fn contains(&self, server: ServerIndex) -> bool {
        self.servers.get(server.index()).is_some()
    }

    /// Zone of a server.
    pub(super) fn zone(&self, server: ServerIndex) -> u32 {
        self.server(server).zone()
    }

    /// Zones of all servers, in the order of their indexes.
    pub(super) fn zones(&self) -> Vec<u32> {
        self.servers.iter().map(Server::zone).collect()
    }

    /// When a server's process started, in microseconds; 0 where it was there before the run.
    pub(super) fn started_at(&self, server: ServerIndex) -> Micros {
        self.server(server).started_at()
    }

    /// All servers, with the starts of their processes.
    pub(super) fn start_times(&self) -> impl Iterator<Item = (ServerIndex, Micros)> {
        ServerIndex::all(self.servers.len()).zip(self.servers.iter().map(Server::started_at))
    }

    /// The type of machine that a server runs on.
    pub(super) fn machine_type(&self, server: ServerIndex) -> &MachineType {
        self.server(server).model.machine_type()
    }

    /// The start of a server to which new connections belong; absent where they are refused.
    pub(super) fn open_start(&self, server: ServerIndex) -> Option<u32> {
        self.server(server).open_start()
    }

    /// Whether a server works on a job, or has it in its queue.
    pub(super) fn has_job(&self, server: ServerIndex, job: u64) -> bool {
        self.server(server).has_job(job)
    }

    /// How many servers were slowed by overload for a time.
    pub(super) fn slowed_server_count(&self) -> usize {
        let slowed = |server: &&Server| server.model.slowed_time() > 0;
        self.servers.iter().filter(slowed).count()
    }

    /// Most requests that a server had in flight at once.
    pub(super) fn max_in_flight(&self) -> usize {
        let in_flight = |server: &Server| server.model.counters.max_in_flight;
        self.servers.iter().map(in_flight).max().unwrap_or(0)
    }

    /// A sidecar closes a connection that belongs to a server's start.
    pub(super) fn close_connection(&mut self, server: ServerIndex, start: u32) {
        self.server_mut(server).close_connection(start);
    }

    /// Records a gauge of each server.
    pub(super) fn record_gauges(&self, context: &mut Context<'_>) {
        for server in ServerIndex::all(self.servers.len()) {
            let model = &self.server(server).model;
            context.record(LogEvent::ServerGauge {
                server,
                in_flight: u32_from_count(model.in_flight()),
                connections: u32_from_count(model.connections()),
            });
        }
    }

    /// Something happened to a server that discovery notices after a while, in milliseconds.
    fn schedule_list_change(
        &self,
        server: ServerIndex,
        status: ListedStatus,
        notice_ms: f64,
        context: &mut Context<'_>,
    ) {
        let noticed = SimulatorEvent::ListChange(ListedEndpoint {
            server,
            status,
            incarnation: self.started_at(server),
        });
        context.after(from_ms(notice_ms), noticed);
    }

    fn record_state(&self, server: ServerIndex, state: ServerState, context: &mut Context<'_>) {
        context.record(LogEvent::ServerStateChanged {
            server,
            zone: self.zone(server),
            state,
        });
    }

    /// A server's process ends with resets.
    fn end_process(&mut self, server: ServerIndex, attempts: &Attempts, context: &mut Context<'_>) {
        let ending = &mut self.servers[server.index()];
        let lost = ending.on_process_ended(context.now(), &mut self.model_events);
        attempts::reset_attempts(lost, attempts, context);
    }

    fn server(&self, server: ServerIndex) -> &Server {
        &self.servers[server.index()]
    }

    fn server_mut(&mut self, server: ServerIndex) -> &mut Server {
        &mut self.servers[server.index()]
    }
}

#[cfg(test)]
mod tests;
