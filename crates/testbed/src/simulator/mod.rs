//! A single-threaded discrete-event simulator in virtual time, without sockets. It runs one real
//! `arrowstand_balancer` balancer per sidecar against simulated servers, network, discovery and
//! clients, which behave as the scenario describes.
//!
//! `Simulator` dispatches each event to the component that handles it; `event_handlers` has the
//! handlers of events that involve several components. A component has private state and receives
//! the other components that it uses as arguments, along with the `context`, which consists of the
//! scenario, the scheduler and the event log.
//!
//! A run is deterministic: events are processed in queue order and every source of randomness has
//! its own random stream, so that a scenario and a seed always produce the same event log. The
//! behaviour of servers is defined in `server_model`, and the generated load in `workload`.

mod attempts;
mod clients;
mod context;
mod discovery;
mod error;
mod event;
mod event_handlers;
mod event_queue;
pub mod faults;
mod fleet;
mod network;
mod process;
mod request;
mod run;
mod scheduler;
pub(crate) mod sidecars;

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

/// Reading of the balancers' clock at the start of a run, in microseconds; servers' incarnations
/// are relative to it.
const EPOCH: Micros = 1_000_000_000_000;
/// Longest time that a run continues after the end of its arrivals, in microseconds.
const MAX_TIME_AFTER_ARRIVALS: Micros = 120_000_000;

/// A running simulation of one scenario.
struct Simulator<'a> {
    context: Context<'a>,
    clients: Clients,
    sidecars: Sidecars,
    network: Network,
    attempts: Attempts,
    fleet: Fleet,
    discovery: Discovery,
    faults: Faults,
    events_processed: u64,
}

impl<'a> Simulator<'a> {
    /// Creates all components, starts the sidecars, and schedules the first arrivals and faults.
    fn new(scenario: &'a Scenario, log: &'a mut dyn EventSink) -> Result<Self, SimulatorError> {
        let mut context = Context::new(scenario, log);
        let fleet = Fleet::new(&mut context);
        let discovery = Discovery::new(scenario, fleet.start_times());
        let mut simulator = Self {
            context,
            sidecars: Sidecars::new(scenario, &discovery)?,
            clients: Clients::new(scenario),
            network: Network::new(scenario),
            attempts: Attempts::new(),
            faults: Faults::new(scenario, &fleet.zones()),
            fleet,
            discovery,
            events_processed: 0,
        };
        simulator.start();
        Ok(simulator)
    }

    /// Processes events until the arrival period is over and all arrivals are closed, but at most
    /// for `MAX_TIME_AFTER_ARRIVALS` after that period.
    fn run_to_completion(&mut self) {
        let arrivals_end = from_s(self.context.scenario().seconds);
        while let Some(event) = self
            .context
            .next_event(arrivals_end + MAX_TIME_AFTER_ARRIVALS)
        {
            if self.context.now() > arrivals_end && self.clients.is_idle() {
                return;
            }
            self.events_processed += 1;
            self.handle(event);
        }
    }

    fn run_statistics(&self) -> RunStatistics {
        RunStatistics {
            events_processed: self.events_processed,
            not_played: self.clients.not_played(),
        }
    }

    /// Dispatches an event to the component that handles it, or to `event_handlers` if the event
    /// involves several.
    fn handle(&mut self, event: SimulatorEvent) {
        use SimulatorEvent as Event;
        let (sidecars, rest) = &mut self.sidecars_and_components();
        match event {
            Event::Arrival(sidecar, arrival) => self.on_arrival(sidecar, &arrival),
            Event::RetryDue(sidecar, arrival) => self.on_retry_due(sidecar, arrival),
            Event::RequestAtSidecar(request) => self.on_request_at_sidecar(request),
            Event::BalancerTimer(timer) => sidecars.on_balancer_timer(&timer, rest),
            Event::ResponseDeadline(sidecar, number) => {
                sidecars.get_mut(sidecar).on_response_deadline(number, rest);
            }
            Event::ClientTimeout(request) => self.on_client_timeout(request),
            Event::ClientDisconnect(request) => self.on_client_disconnect(request),
            Event::ResponseAtClient(response) => self.on_response_at_client(&response),
            Event::ConnectAtServer(attempt) => self.on_connect_at_server(attempt),
            Event::ConnectionOpen(sidecar, attempt) => {
                sidecars.get_mut(sidecar).on_connection_open(attempt, rest);
            }
            Event::AttemptAtServer(attempt) => self.on_attempt_at_server(attempt),
            Event::AttemptResultAtSidecar(sidecar, attempt, outcome) => {
                let sidecar = sidecars.get_mut(sidecar);
                sidecar.on_attempt_result(attempt, outcome, rest);
            }
            Event::AttemptTimeout(sidecar, attempt) => {
                sidecars.get_mut(sidecar).on_attempt_timeout(attempt, rest);
            }
            Event::CancellationAtServer(cancellation) => self.on_cancellation(&cancellation),
            Event::ServerTimer(server, generation) => self.on_server_timer(server, generation),
            Event::HealthCheckAtServer(check) => self.on_health_check_at_server(&check),
            Event::HealthCheckResult(result) => sidecars.on_health_check_result(&result, rest),
            Event::PollResult(result) => sidecars.on_poll_result(&result, rest),
            Event::WatchNotification(process) => sidecars.on_watch_notification(process, rest),
            Event::ListChange(endpoint) => self.on_list_change(endpoint),
            Event::Fault { index, starts } => self.on_fault(index, starts),
            Event::SidecarRestart(restart) => sidecars.on_restart(&restart, rest),
            Event::SidecarUp(sidecar) => sidecars.get_mut(sidecar).start(rest),
            Event::GaugeTick => self.on_gauge_tick(),
        }
    }
}
