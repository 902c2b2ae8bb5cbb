//! The simulator: virtual time, one thread, no sockets. Real `arrowstand_balancer` balancers, one
//! for each sidecar, against servers, network, discovery and clients as the scenario describes
//! them.
//!
//! Everything happens in the order of the queue, and each cause draws from a random stream of its
//! own, so the same scenario and seed give the same event log to the last entry. Servers' behaviour
//! is `server_model`'s, and what is asked for is `workload`'s.

mod client;
mod discovery;
mod error;
mod event;
mod event_queue;
pub mod faults;
mod process;
mod request;
mod run;
mod server;
pub(crate) mod sidecar;
mod timeline;

use arrowstand_balancer::Action;

use crate::event_log::{EventLog, LogEvent, LogRecord};
use crate::index::{ServerIndex, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Micros, Scenario, from_ms, from_s};
use crate::server_model::Event as ServerModelEvent;
use crate::workload::{TenantQuota, quotas};

use discovery::Discovery;
use event::SimulatorEvent;
use request::OpenWork;
use server::Server;
use sidecar::Sidecar;
use timeline::Timeline;

pub use error::SimulatorError;
pub use run::{RunStatistics, run};

/// Where the balancers' clock stands when the run begins: servers' incarnations count from here.
const EPOCH: Micros = 1_000_000_000_000;
/// How long after the last arrival the run goes on at most, in microseconds.
const MAX_RUN_OUT: Micros = 120_000_000;
/// Between two gauges, in microseconds.
const GAUGE_INTERVAL: Micros = 1_000_000;

/// A scenario being simulated. Owns all that is open; sidecars, servers and discovery own their
/// state.
struct Simulator<'a> {
    scenario: &'a Scenario,
    timeline: Timeline,
    log: &'a mut dyn EventLog,
    sidecars: Vec<Sidecar>,
    servers: Vec<Server>,
    discovery: Discovery,
    open: OpenWork,
    /// Draws resets and malformed responses.
    server_random: RandomStream,
    quotas: Vec<TenantQuota>,
    /// Servers that each fault hits.
    fault_targets: Vec<Vec<ServerIndex>>,
    /// Buffer of what a server did, until it is carried out.
    server_events: Vec<ServerModelEvent>,
    /// Buffer of what a balancer asks for.
    actions: Vec<Action>,
    run_statistics: RunStatistics,
}

impl<'a> Simulator<'a> {
    /// Builds servers and sidecars, and schedules the first arrivals and the faults.
    fn new(scenario: &'a Scenario, log: &'a mut dyn EventLog) -> Result<Self, SimulatorError> {
        let mut simulator = Self {
            scenario,
            timeline: Timeline::new(),
            log,
            sidecars: Vec::new(),
            servers: Vec::new(),
            discovery: Discovery::new(scenario),
            open: OpenWork::new(),
            server_random: RandomStream::new(scenario.seed, StreamId::Machines, 0),
            quotas: quotas(scenario),
            fault_targets: Vec::new(),
            server_events: Vec::new(),
            actions: Vec::new(),
            run_statistics: RunStatistics::default(),
        };
        simulator.build_servers();
        simulator.build_sidecars()?;
        simulator.schedule_faults();
        simulator
            .timeline
            .after(GAUGE_INTERVAL, SimulatorEvent::GaugeTick);
        Ok(simulator)
    }

    /// Plays until nothing is open after the last arrival, or the run has gone on for too long.
    fn play(&mut self) {
        let last_arrival = from_s(self.scenario.seconds);
        while let Some(event) = self.timeline.next(last_arrival + MAX_RUN_OUT) {
            if self.timeline.now() > last_arrival && self.open.arrivals.is_empty() {
                return;
            }
            self.run_statistics.events_played += 1;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimulatorEvent) {
        use SimulatorEvent as Event;
        match event {
            Event::Arrival(sidecar, arrival) => self.on_arrival(sidecar, arrival),
            Event::RetryDue(arrival) => self.send_request(arrival),
            Event::RequestAtSidecar(request) => self.on_request_at_sidecar(request),
            Event::BalancerTimer(timer) => self.on_balancer_timer(&timer),
            Event::ResponseDue(request) => self.on_response_due(request),
            Event::ClientTimeout(request) => self.on_client_timeout(request),
            Event::ClientDisconnect(request) => self.on_client_disconnect(request),
            Event::ResponseAtClient(response) => self.on_response_at_client(&response),
            Event::ConnectAtServer(attempt) => self.on_connect_at_server(attempt),
            Event::ConnectionOpen(attempt) => self.on_connection_open(attempt),
            Event::AttemptAtServer(attempt) => self.on_attempt_at_server(attempt),
            Event::ResultAtSidecar(attempt, outcome) => self.on_result_at_sidecar(attempt, outcome),
            Event::AttemptTimeout(attempt) => self.on_attempt_timeout(attempt),
            Event::CancellationAtServer(cancellation) => self.on_cancellation(&cancellation),
            Event::ServerDue(server, generation) => self.on_server_due(server, generation),
            Event::HealthCheckAtServer(check) => self.on_health_check_at_server(&check),
            Event::HealthCheckResult(result) => self.on_health_check_result(&result),
            Event::PollResult(result) => self.on_poll_result(&result),
            Event::WatchNotification(process) => self.on_watch_notification(process),
            Event::ListChange { server, change } => self.on_list_change(server, change),
            Event::Fault { index, starts } => self.on_fault(index, starts),
            Event::SidecarRestart(restart) => self.on_sidecar_restart(&restart),
            Event::SidecarUp(sidecar) => self.start_sidecar(sidecar),
            Event::GaugeTick => self.on_gauge_tick(),
        }
    }

    fn record(&mut self, event: LogEvent) {
        let at = self.timeline.now();
        self.log.record(&LogRecord { at, event });
    }

    /// One way between a sidecar and a server in microseconds, drawn by the sidecar's stream.
    fn draw_delay(&mut self, sidecar: SidecarIndex, server: ServerIndex) -> Micros {
        let network = &self.scenario.network;
        let sidecar = &mut self.sidecars[sidecar.index()];
        let base_ms = if sidecar.zone == self.servers[server.index()].zone {
            network.same_ms
        } else {
            network.cross_ms
        };
        from_ms(base_ms * (1.0 + network.jitter * sidecar.network_random.unit()))
    }

    /// Records gauges of all servers, and closes idle connections.
    fn on_gauge_tick(&mut self) {
        for server in ServerIndex::all(self.servers.len()) {
            let model = &self.servers[server.index()].model;
            let gauge = LogEvent::ServerGauge {
                server,
                in_flight: model.in_flight() as u32,
                connections: model.connections() as u32,
            };
            self.record(gauge);
        }
        self.close_idle_connections();
        self.timeline
            .after(GAUGE_INTERVAL, SimulatorEvent::GaugeTick);
    }
}
