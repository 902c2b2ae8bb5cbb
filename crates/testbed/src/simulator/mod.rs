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

use crate::event_log::EventLog;
use crate::scenario::{Micros, Scenario, from_s};
use crate::workload::{TenantQuota, quotas};

use attempts::Attempts;
use context::Context;
use discovery::Discovery;
use event::SimulatorEvent;
use faults::{FaultEffect, Faults};
use fleet::Fleet;
use network::Network;
use request::OpenWork;
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
    open: OpenWork,
    quotas: Vec<TenantQuota>,
    faults: Faults,
    /// Buffer of what a balancer asks for.
    actions: Vec<Action>,
    run_statistics: RunStatistics,
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
            open: OpenWork::new(),
            quotas: quotas(scenario),
            actions: Vec::new(),
            run_statistics: RunStatistics::default(),
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
            if self.context.now() > last_arrival && self.open.arrivals.is_empty() {
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
