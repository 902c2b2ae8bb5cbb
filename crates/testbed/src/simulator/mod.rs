//! The simulator: virtual time, one thread, no sockets. Real `arrowstand_balancer` balancers, one
//! for each sidecar, against servers, network, discovery and clients as the scenario describes
//! them.
//!
//! Everything happens in the order of the queue, and each cause draws from a random stream of its
//! own, so the same scenario and seed give the same event log to the last entry. Servers' behaviour
//! is `server_model`'s, and what is asked for is `workload`'s.

mod attempts;
mod clients;
mod context;
mod discovery;
mod error;
mod event;
mod event_queue;
pub mod faults;
mod fleet;
mod network;
mod process;
mod request;
mod run;
mod sidecars;
mod timeline;

use arrowstand_balancer::Action;

use crate::event_log::{EventLog, LogEvent};
use crate::index::SidecarIndex;
use crate::scenario::{Micros, Scenario, from_s};
use crate::workload::Arrival;

use attempts::Attempts;
use clients::Clients;
use context::Context;
use discovery::Discovery;
use event::SimulatorEvent;
use faults::{FaultEffect, Faults};
use fleet::Fleet;
use network::Network;
use request::{ArrivalKey, RequestKey};
use sidecars::Sidecar;

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
    context: Context<'a>,
    network: Network,
    sidecars: Vec<Sidecar>,
    attempts: Attempts,
    fleet: Fleet,
    discovery: Discovery,
    clients: Clients,
    faults: Faults,
    /// Buffer of what a balancer asks for.
    actions: Vec<Action>,
    events_played: u64,
}

impl<'a> Simulator<'a> {
    /// Builds servers and sidecars, and schedules the first arrivals and the faults.
    fn new(scenario: &'a Scenario, log: &'a mut dyn EventLog) -> Result<Self, SimulatorError> {
        let mut context = Context::new(scenario, log);
        let fleet = Fleet::new(&mut context);
        let mut simulator = Self {
            context,
            network: Network::new(scenario),
            sidecars: Vec::new(),
            attempts: Attempts::new(),
            faults: Faults::new(scenario, &fleet.zones()),
            discovery: Discovery::new(scenario, fleet.starts()),
            fleet,
            clients: Clients::new(scenario),
            actions: Vec::new(),
            events_played: 0,
        };
        simulator.build_sidecars()?;
        simulator.faults.schedule(&mut simulator.context);
        simulator
            .context
            .after(GAUGE_INTERVAL, SimulatorEvent::GaugeTick);
        Ok(simulator)
    }

    /// Plays until nothing is open after the last arrival, or the run has gone on for too long.
    fn play(&mut self) {
        let last_arrival = from_s(self.context.scenario().seconds);
        while let Some(event) = self.context.next_event(last_arrival + MAX_RUN_OUT) {
            if self.context.now() > last_arrival && self.clients.is_idle() {
                return;
            }
            self.events_played += 1;
            self.handle(event);
        }
    }

    /// What the run has taken so far.
    fn run_statistics(&self) -> RunStatistics {
        RunStatistics {
            events_played: self.events_played,
            not_played: self.clients.not_played(),
        }
    }

    fn handle(&mut self, event: SimulatorEvent) {
        use SimulatorEvent as Event;
        match event {
            Event::Arrival(sidecar, arrival) => self.on_arrival(sidecar, &arrival),
            Event::RetryDue(sidecar, arrival) => self.on_retry_due(sidecar, arrival),
            Event::RequestAtSidecar(request) => self.on_request_at_sidecar(request),
            Event::BalancerTimer(timer) => self.on_balancer_timer(&timer),
            Event::ResponseDue(sidecar, request) => self.on_response_due(sidecar, request),
            Event::ClientTimeout(request) => self.on_client_timeout(request),
            Event::ClientDisconnect(request) => self.on_client_disconnect(request),
            Event::ResponseAtClient(response) => {
                self.clients.on_response(&response, &mut self.context)
            }
            Event::ConnectAtServer(attempt) => {
                self.fleet
                    .on_connect(attempt, &mut self.attempts, &mut self.context)
            }
            Event::ConnectionOpen(attempt) => self.on_connection_open(attempt),
            Event::AttemptAtServer(attempt) => {
                self.fleet
                    .on_attempt(attempt, &mut self.attempts, &mut self.context)
            }
            Event::ResultAtSidecar(attempt, outcome) => self.on_result_at_sidecar(attempt, outcome),
            Event::AttemptTimeout(attempt) => self.on_attempt_timeout(attempt),
            Event::CancellationAtServer(cancellation) => {
                self.fleet
                    .on_cancellation(&cancellation, &mut self.attempts, &mut self.context)
            }
            Event::ServerDue(server, generation) => {
                self.fleet
                    .on_server_due(server, generation, &mut self.attempts, &mut self.context)
            }
            Event::HealthCheckAtServer(check) => self.on_health_check_at_server(&check),
            Event::HealthCheckResult(result) => self.on_health_check_result(&result),
            Event::PollResult(result) => self.on_poll_result(&result),
            Event::WatchNotification(process) => self.on_watch_notification(process),
            Event::ListChange(endpoint) => self.on_list_change(endpoint),
            Event::Fault { index, starts } => self.on_fault(index, starts),
            Event::SidecarRestart(restart) => self.on_sidecar_restart(&restart),
            Event::SidecarUp(sidecar) => self.start_sidecar(sidecar),
            Event::GaugeTick => self.on_gauge_tick(),
        }
    }

    fn on_arrival(&mut self, sidecar: SidecarIndex, arrival: &Arrival) {
        let process = self.process(sidecar);
        self.clients.on_arrival(arrival, process, &mut self.context);
    }

    fn on_retry_due(&mut self, sidecar: SidecarIndex, arrival: ArrivalKey) {
        let process = self.process(sidecar);
        self.clients
            .send_request(arrival, process, &mut self.context);
    }

    fn on_client_timeout(&mut self, key: RequestKey) {
        let request = self.clients.request(key);
        if let Some(request) = request.filter(|request| self.awaits_response(request)) {
            self.abandon_request(&request);
            self.clients.on_timed_out(key, &mut self.context);
        }
    }

    fn on_client_disconnect(&mut self, key: RequestKey) {
        let request = self.clients.request(key);
        if let Some(request) = request.filter(|request| self.awaits_response(request)) {
            self.context.record(LogEvent::ClientDisconnected {
                request: request.number,
            });
            self.abandon_request(&request);
            self.clients.on_disconnected(key, &mut self.context);
        }
    }

    fn on_fault(&mut self, index: usize, starts: bool) {
        let fault = &self.context.scenario().fault[index];
        match self.faults.effect(index, fault, starts) {
            FaultEffect::Servers(servers) => {
                for &server in servers {
                    let attempts = &mut self.attempts;
                    let context = &mut self.context;
                    self.fleet
                        .on_fault(server, fault, starts, attempts, context);
                }
            }
            FaultEffect::Discovery(availability) => self.on_discovery_fault(availability),
            FaultEffect::Nothing => {}
        }
    }

    /// Records gauges of all servers, and closes idle connections.
    fn on_gauge_tick(&mut self) {
        self.fleet.record_gauges(&mut self.context);
        self.close_idle_connections();
        self.context
            .after(GAUGE_INTERVAL, SimulatorEvent::GaugeTick);
    }
}
