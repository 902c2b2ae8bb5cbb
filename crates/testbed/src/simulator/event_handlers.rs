//! Handlers of the events that involve several components. A handler calls these components in
//! turn, passes each of them the others that it uses, and passes results on to the next one.

use super::Simulator;
use super::attempts::AttemptKey;
use super::discovery::{Availability, ListedEndpoint};
use super::event::{Cancellation, ClientResponse, HealthCheck, SimulatorEvent};
use super::faults::FaultEffect;
use super::request::{ArrivalKey, RequestKey};
use super::sidecars::{Components, Sidecars};
use crate::event_log::{LogEvent, RequestOutcome};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::Micros;
use crate::workload::Arrival;

/// Interval between two recordings of the gauges, in microseconds.
const GAUGE_INTERVAL: Micros = 1_000_000;

impl<'a> Simulator<'a> {
    /// Borrows the sidecars, and the components that they use, at the same time.
    pub(super) fn sidecars_and_components(&mut self) -> (&mut Sidecars, Components<'_, 'a>) {
        let components = Components {
            context: &mut self.context,
            network: &mut self.network,
            attempts: &mut self.attempts,
            fleet: &mut self.fleet,
            discovery: &mut self.discovery,
        };
        (&mut self.sidecars, components)
    }

    /// Starts all sidecars and schedules their clients' first arrivals, then the faults.
    pub(super) fn start(&mut self) {
        for index in self.sidecars.indexes() {
            let (sidecars, mut components) = self.sidecars_and_components();
            sidecars.get_mut(index).start(&mut components);
            let context = &mut self.context;
            self.clients.schedule_next_arrival(index, context);
        }
        self.faults.schedule(&mut self.context);
        let tick = SimulatorEvent::GaugeTick;
        self.context.schedule_after(GAUGE_INTERVAL, tick);
    }

    /// Handles an arrival at a client of a sidecar.
    pub(super) fn on_arrival(&mut self, sidecar: SidecarIndex, arrival: &Arrival) {
        let process = self.sidecars.process(sidecar);
        let context = &mut self.context;
        self.clients.on_arrival(arrival, process, context);
    }

    /// Sends the retry of a client whose backoff has ended.
    pub(super) fn on_retry_due(&mut self, sidecar: SidecarIndex, arrival: ArrivalKey) {
        let process = self.sidecars.process(sidecar);
        let context = &mut self.context;
        self.clients.send_request(arrival, process, context);
    }

    /// Handles a response that reaches its client.
    pub(super) fn on_response_at_client(&mut self, response: &ClientResponse) {
        self.clients.on_response(response, &mut self.context);
    }

    /// Handles a request that reaches its sidecar, whose process may have ended.
    pub(super) fn on_request_at_sidecar(&mut self, key: RequestKey) {
        let Some(request) = self.clients.request(key) else {
            return;
        };
        if self.sidecars.is_process_running(request.process) {
            let (sidecars, mut components) = self.sidecars_and_components();
            let sidecar = sidecars.get_mut(request.process.sidecar);
            sidecar.accept_request(key, request, &mut components);
        } else {
            let unreachable = ClientResponse {
                request: key,
                outcome: RequestOutcome::Unreachable,
                retry_after: 0,
            };
            self.clients.on_response(&unreachable, &mut self.context);
        }
    }

    /// Handles a client's timeout, which has no effect if the response is already on its way.
    pub(super) fn on_client_timeout(&mut self, key: RequestKey) {
        let Some(request) = self.clients.request(key) else {
            return;
        };
        if self
            .sidecars
            .has_yet_to_respond(&request, self.context.now())
        {
            let (sidecars, mut components) = self.sidecars_and_components();
            let sidecar = sidecars.get_mut(request.process.sidecar);
            sidecar.abandon_request(request.number, &mut components);
            self.clients.on_timed_out(key, &mut self.context);
        }
    }

    /// Handles a client's disconnect, which has no effect if the response is already on its way.
    pub(super) fn on_client_disconnect(&mut self, key: RequestKey) {
        let Some(request) = self.clients.request(key) else {
            return;
        };
        if self
            .sidecars
            .has_yet_to_respond(&request, self.context.now())
        {
            self.context.record(LogEvent::ClientDisconnected {
                request: request.number,
            });
            let (sidecars, mut components) = self.sidecars_and_components();
            let sidecar = sidecars.get_mut(request.process.sidecar);
            sidecar.abandon_request(request.number, &mut components);
            self.clients.on_disconnected(key, &mut self.context);
        }
    }

    /// Handles a new connection's first packet at the server.
    pub(super) fn on_connect_at_server(&mut self, attempt: AttemptKey) {
        let attempts = &mut self.attempts;
        self.fleet.on_connect(attempt, attempts, &mut self.context);
    }

    /// Handles an attempt that reaches its server.
    pub(super) fn on_attempt_at_server(&mut self, attempt: AttemptKey) {
        let attempts = &mut self.attempts;
        self.fleet.on_attempt(attempt, attempts, &mut self.context);
    }

    /// Handles an attempt's closed connection at the server.
    pub(super) fn on_cancellation(&mut self, cancellation: &Cancellation) {
        let attempts = &mut self.attempts;
        let context = &mut self.context;
        self.fleet.on_cancellation(cancellation, attempts, context);
    }

    /// Handles a timer of a server model; `generation` identifies stale events.
    pub(super) fn on_server_timer(&mut self, server: ServerIndex, generation: u32) {
        let attempts = &mut self.attempts;
        let context = &mut self.context;
        self.fleet
            .on_server_timer(server, generation, attempts, context);
    }

    /// Handles a change of a server's status that discovery detects and reports to the sidecars
    /// that watch the list.
    pub(super) fn on_list_change(&mut self, endpoint: ListedEndpoint) {
        let started_at = self.fleet.started_at(endpoint.server);
        let watching = self.sidecars.watching_processes();
        self.discovery
            .on_list_change(endpoint, started_at, watching, &mut self.context);
    }

    /// Handles a health check that reaches its server. If the server answers, the sidecar keeps the
    /// connection for reuse.
    pub(super) fn on_health_check_at_server(&mut self, check: &HealthCheck) {
        let process_is_running = self.sidecars.is_process_running(check.process);
        let attempts = &mut self.attempts;
        let context = &mut self.context;
        let kept = self
            .fleet
            .on_health_check(check, process_is_running, attempts, context);
        if let Some(server_start_number) = kept {
            let idle_since = self.context.now() + check.delay;
            let sidecar = self.sidecars.get_mut(check.process.sidecar);
            sidecar.keep_connection(
                check.server,
                idle_since,
                server_start_number,
                &mut self.fleet,
            );
        }
    }

    /// Starts or ends a fault.
    pub(super) fn on_fault(&mut self, index: usize, starts: bool) {
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
            FaultEffect::Discovery(availability) => self.on_availability_changed(availability),
            FaultEffect::Nothing => {}
        }
    }

    fn on_availability_changed(&mut self, availability: Availability) {
        let now = self.context.now();
        let watches_end = self.discovery.on_availability_changed(availability, now);
        if let Some(detection_delay) = watches_end {
            self.sidecars
                .end_watches(detection_delay, &mut self.context);
        }
    }

    /// Records the gauges of all servers and closes idle connections.
    pub(super) fn on_gauge_tick(&mut self) {
        self.fleet.record_gauges(&mut self.context);
        self.sidecars
            .close_idle_connections(&mut self.fleet, &self.context);
        let tick = SimulatorEvent::GaugeTick;
        self.context.schedule_after(GAUGE_INTERVAL, tick);
    }
}
