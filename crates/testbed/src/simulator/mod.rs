//! The simulator: virtual time, one thread, no sockets. Real `arrowstand_balancer` balancers, one
//! for each sidecar, against servers, network, discovery and clients as the scenario describes
//! them.
//!
//! `Simulator` owns the components and passes each event to the one that handles it; `handover` has
//! the events that several have a part in. Each component owns its state and gets the others that it
//! uses as arguments, with the `context` of scenario, timeline and event log.
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
mod handover;
mod network;
mod process;
mod request;
mod run;
pub(crate) mod sidecars;
mod timeline;

use crate::event_log::EventSink;
use crate::scenario::{Micros, Scenario, from_s};

use attempts::Attempts;
use clients::Clients;
use context::Context;
use discovery::Discovery;
use event::SimulatorEvent;
use faults::Faults;
use fleet::Fleet;
use network::Network;
use sidecars::Sidecars;

pub use error::SimulatorError;
pub use run::{RunStatistics, run};

/// Where the balancers' clock stands when the run begins: servers' incarnations count from here.
const EPOCH: Micros = 1_000_000_000_000;
/// How long after the last arrival the run goes on at most, in microseconds.
const MAX_RUN_OUT: Micros = 120_000_000;

/// A scenario being simulated.
struct Simulator<'a> {
    context: Context<'a>,
    clients: Clients,
    sidecars: Sidecars,
    network: Network,
    attempts: Attempts,
    fleet: Fleet,
    discovery: Discovery,
    faults: Faults,
    events_played: u64,
}

impl<'a> Simulator<'a> {
    /// Builds all components, and schedules the first arrivals and the faults.
    fn new(scenario: &'a Scenario, log: &'a mut dyn EventSink) -> Result<Self, SimulatorError> {
        let mut context = Context::new(scenario, log);
        let fleet = Fleet::new(&mut context);
        let discovery = Discovery::new(scenario, fleet.starts());
        let mut simulator = Self {
            context,
            sidecars: Sidecars::new(scenario, &discovery)?,
            clients: Clients::new(scenario),
            network: Network::new(scenario),
            attempts: Attempts::new(),
            faults: Faults::new(scenario, &fleet.zones()),
            fleet,
            discovery,
            events_played: 0,
        };
        simulator.start();
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

    /// Passes an event to the component that handles it, or to `handover` where several do.
    fn handle(&mut self, event: SimulatorEvent) {
        use SimulatorEvent as Event;
        let (sidecars, others) = &mut self.sidecars_with_environment();
        match event {
            Event::Arrival(sidecar, arrival) => self.on_arrival(sidecar, &arrival),
            Event::RetryDue(sidecar, arrival) => self.on_retry_due(sidecar, arrival),
            Event::RequestAtSidecar(request) => self.on_request_at_sidecar(request),
            Event::BalancerTimer(timer) => sidecars.on_balancer_timer(&timer, others),
            Event::ResponseDue(sidecar, request) => {
                sidecars.at(sidecar).on_response_due(request, others);
            }
            Event::ClientTimeout(request) => self.on_client_timeout(request),
            Event::ClientDisconnect(request) => self.on_client_disconnect(request),
            Event::ResponseAtClient(response) => self.on_response_at_client(&response),
            Event::ConnectAtServer(attempt) => self.on_connect_at_server(attempt),
            Event::ConnectionOpen(sidecar, attempt) => {
                sidecars.at(sidecar).on_connection_open(attempt, others);
            }
            Event::AttemptAtServer(attempt) => self.on_attempt_at_server(attempt),
            Event::ResultAtSidecar(sidecar, attempt, outcome) => {
                let sidecar = sidecars.at(sidecar);
                sidecar.on_attempt_result(attempt, outcome, others);
            }
            Event::AttemptTimeout(sidecar, attempt) => {
                sidecars.at(sidecar).on_attempt_timeout(attempt, others);
            }
            Event::CancellationAtServer(cancellation) => self.on_cancellation(&cancellation),
            Event::ServerDue(server, generation) => self.on_server_due(server, generation),
            Event::HealthCheckAtServer(check) => self.on_health_check_at_server(&check),
            Event::HealthCheckResult(result) => sidecars.on_health_check_result(&result, others),
            Event::PollResult(result) => sidecars.on_poll_result(&result, others),
            Event::WatchNotification(process) => sidecars.on_watch_notification(process, others),
            Event::ListChange(endpoint) => self.on_list_change(endpoint),
            Event::Fault { index, starts } => self.on_fault(index, starts),
            Event::SidecarRestart(restart) => sidecars.on_restart(&restart, others),
            Event::SidecarUp(sidecar) => sidecars.at(sidecar).start(others),
            Event::GaugeTick => self.on_gauge_tick(),
        }
    }
}
