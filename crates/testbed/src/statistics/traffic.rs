//! The clients' requests, and the load that the sidecars generated: attempts, work, health checks,
//! connections and polls.
//!
//! Counts events. The parent module applies the prices.

use rustc_hash::FxHashMap;

use crate::conversion::MICROS_PER_S;
use crate::event_log::{LogEvent, RequestOutcome, ServerState};
use crate::index::{RequestNumber, ServerIndex};
use crate::report::ServerFigures;

/// Event counts of a run.
pub(super) struct TrafficStatistics {
    pub(super) arrivals: u64,
    pub(super) requests: u64,
    pub(super) accepted: u64,
    pub(super) attempts: u64,
    pub(super) cross_zone_attempts: u64,
    pub(super) health_checks: u64,
    pub(super) handshakes: u64,
    /// Work of all executions, in microseconds of a standard core.
    pub(super) work_done: f64,
    /// Figures by server index.
    pub(super) servers: Vec<ServerFigures>,
    /// Work of the latest execution of each served request.
    useful_work: f64,
    /// Work of the latest execution, by request.
    work_by_request: FxHashMap<RequestNumber, f64>,
    polls_by_second: Vec<u32>,
}

impl TrafficStatistics {
    pub(super) fn new(seconds: usize) -> Self {
        Self {
            arrivals: 0,
            requests: 0,
            accepted: 0,
            attempts: 0,
            cross_zone_attempts: 0,
            health_checks: 0,
            handshakes: 0,
            work_done: 0.0,
            servers: Vec::new(),
            useful_work: 0.0,
            work_by_request: FxHashMap::default(),
            polls_by_second: vec![0; seconds],
        }
    }

    /// All work done except that of the latest execution of each served request.
    pub(super) fn wasted_work(&self) -> f64 {
        (self.work_done - self.useful_work).max(0.0)
    }

    pub(super) fn discovery_polls(&self) -> u64 {
        self.polls_by_second
            .iter()
            .map(|&polls| u64::from(polls))
            .sum()
    }

    pub(super) fn discovery_polls_peak(&self) -> u32 {
        self.polls_by_second.iter().copied().max().unwrap_or(0)
    }

    pub(super) fn on_arrival(&mut self) {
        self.arrivals += 1;
    }

    /// Adds the requests of an arrival that has ended.
    pub(super) fn add_requests(&mut self, requests: u32) {
        self.requests += u64::from(requests);
    }

    pub(super) fn on_response(&mut self, request: RequestNumber, outcome: RequestOutcome) {
        let work = self.work_by_request.remove(&request).unwrap_or(0.0);
        if outcome == RequestOutcome::Served {
            self.useful_work += work;
        }
    }

    /// Counts an event that happened in the given `second`; events of other kinds are ignored.
    pub(super) fn on_event(&mut self, second: usize, event: LogEvent) {
        match event {
            LogEvent::RequestAccepted { .. } => self.accepted += 1,
            LogEvent::AttemptStarted {
                server, cross_zone, ..
            } => self.on_attempt_started(server, cross_zone),
            LogEvent::AttemptReceived { server, .. } => self.server_figures(server).received += 1,
            LogEvent::AttemptRejected { server, .. } => self.server_figures(server).rejected += 1,
            LogEvent::WorkDone {
                request,
                server,
                work,
            } => self.on_work_done(request, server, work),
            LogEvent::ClientDisconnected { request } => {
                self.work_by_request.remove(&request);
            }
            LogEvent::HealthChecked { server, .. } => {
                self.health_checks += 1;
                self.server_figures(server).health_checks += 1;
            }
            LogEvent::ConnectionOpened { server } => {
                self.handshakes += 1;
                self.server_figures(server).handshakes += 1;
            }
            LogEvent::DiscoveryPolled { .. } => self.on_discovery_polled(second),
            other => self.on_server_event(other),
        }
    }

    fn on_server_event(&mut self, event: LogEvent) {
        match event {
            LogEvent::ServerStateChanged { server, state, .. } => {
                self.server_figures(server).overloaded_cold |=
                    state == ServerState::OverloadShutdown;
            }
            LogEvent::ServerGauge {
                server,
                in_flight,
                connections,
            } => self.on_server_gauge(server, in_flight, connections),
            _ => {}
        }
    }

    fn server_figures(&mut self, server: ServerIndex) -> &mut ServerFigures {
        let index = server.index();
        if self.servers.len() <= index {
            self.servers.resize_with(index + 1, ServerFigures::default);
        }
        &mut self.servers[index]
    }

    fn on_attempt_started(&mut self, server: ServerIndex, cross_zone: bool) {
        self.attempts += 1;
        self.cross_zone_attempts += u64::from(cross_zone);
        self.server_figures(server).attempts += 1;
    }

    fn on_work_done(&mut self, request: RequestNumber, server: ServerIndex, work: f64) {
        self.work_done += work;
        self.server_figures(server).work_s += work / MICROS_PER_S;
        self.work_by_request.insert(request, work);
    }

    fn on_discovery_polled(&mut self, second: usize) {
        if let Some(polls) = self.polls_by_second.get_mut(second) {
            *polls += 1;
        }
    }

    fn on_server_gauge(&mut self, server: ServerIndex, in_flight: u32, connections: u32) {
        let server = self.server_figures(server);
        server.gauges += 1;
        server.in_flight_sum += u64::from(in_flight);
        server.connections_sum += u64::from(connections);
        server.in_flight_max = server.in_flight_max.max(in_flight);
        server.connections_max = server.connections_max.max(connections);
    }
}
