//! The simulator's servers: they handle attempts, health checks and faults.
//!
//! Creates the servers, and records their states and gauges. `attempts` and `health_checks` handle
//! what sidecars send to a server, `model_events` applies the events of a server's model, and
//! `faults` applies the effects of faults. `sidecars` handles the results of attempts and health
//! checks, and `discovery` decides when a server is listed.

mod attempts;
mod faults;
mod health_checks;
mod model_events;
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

/// All servers of a run, including those that replaced others during the run.
pub(super) struct Fleet {
    servers: Vec<Server>,
    /// Draws resets and malformed responses.
    random: RandomStream,
    /// Events that a server's model has returned and that are not applied yet.
    model_events: Vec<ServerModelEvent>,
}

impl Fleet {
    /// Creates the servers of a scenario and records their states.
    pub(super) fn new(context: &mut Context<'_>) -> Self {
        let scenario = context.scenario();
        let mut fleet = Self {
            servers: Vec::new(),
            random: RandomStream::new(scenario.seed, StreamId::Servers, 0),
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

    /// The zone of a server.
    pub(super) fn zone(&self, server: ServerIndex) -> u32 {
        self.server(server).zone()
    }

    /// The zones of all servers, ordered by index.
    pub(super) fn zones(&self) -> Vec<u32> {
        self.servers.iter().map(Server::zone).collect()
    }

    /// When a server's process started, in microseconds; 0 if it started before the run.
    pub(super) fn started_at(&self, server: ServerIndex) -> Micros {
        self.server(server).started_at()
    }

    /// All servers with the start times of their processes.
    pub(super) fn start_times(&self) -> impl Iterator<Item = (ServerIndex, Micros)> {
        ServerIndex::all(self.servers.len()).zip(self.servers.iter().map(Server::started_at))
    }

    /// The machine type of a server.
    pub(super) fn machine_type(&self, server: ServerIndex) -> &MachineType {
        self.server(server).model.machine_type()
    }

    /// Number of the current process start of a server, to which a new connection would belong;
    /// `None` if connections are refused.
    pub(super) fn start_number_unless_refusing(&self, server: ServerIndex) -> Option<u32> {
        self.server(server).start_number_unless_refusing()
    }

    /// Whether a job is queued or running at a server.
    pub(super) fn has_job(&self, server: ServerIndex, job: u64) -> bool {
        self.server(server).has_job(job)
    }

    /// Number of servers that contention slowed at any time.
    pub(super) fn slowed_server_count(&self) -> usize {
        let was_slowed = |server: &&Server| server.model.slowed_time() > 0;
        self.servers.iter().filter(was_slowed).count()
    }

    /// Maximum number of requests that were in flight at one server at the same time.
    pub(super) fn max_in_flight(&self) -> usize {
        let max_in_flight = |server: &Server| server.model.counters.max_in_flight;
        self.servers.iter().map(max_in_flight).max().unwrap_or(0)
    }

    /// Closes a connection to the process of a server with this start number.
    pub(super) fn close_connection(&mut self, server: ServerIndex, start_number: u32) {
        self.server_mut(server).close_connection(start_number);
    }

    /// Records the gauges of each server.
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

    /// Schedules the time at which discovery detects a server's new status, `notice_ms`
    /// milliseconds from now.
    fn schedule_list_change(
        &self,
        server: ServerIndex,
        status: ListedStatus,
        notice_ms: f64,
        context: &mut Context<'_>,
    ) {
        let list_change = SimulatorEvent::ListChange(ListedEndpoint {
            server,
            status,
            incarnation: self.started_at(server),
        });
        context.schedule_after(from_ms(notice_ms), list_change);
    }

    fn record_state(&self, server: ServerIndex, state: ServerState, context: &mut Context<'_>) {
        context.record(LogEvent::ServerStateChanged {
            server,
            zone: self.zone(server),
            state,
        });
    }

    /// Ends a server's process, which resets its connections.
    fn end_process(&mut self, server: ServerIndex, attempts: &Attempts, context: &mut Context<'_>) {
        let server = &mut self.servers[server.index()];
        let lost = server.on_process_ended(context.now(), &mut self.model_events);
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
