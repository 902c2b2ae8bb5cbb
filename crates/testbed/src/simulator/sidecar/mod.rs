//! The simulator's sidecars: each hosts one balancer as the real program does.
//!
//! This file owns a sidecar's state, its start and its restarts. `host` carries out what the
//! balancer asks for, `requests` is a request's life at the sidecar, `connections` the pool of idle
//! connections.

mod connections;
mod host;
mod requests;
pub(crate) mod settings;

use std::collections::BTreeMap;

use arrowstand_control::WorkAwareBalancer;

use super::discovery::CachedEndpoints;
use super::event::{ClientResponse, SidecarRestart, SimulatorEvent};
use super::process::SidecarProcess;
use super::request::RequestKey;
use super::{Simulator, SimulatorError};
use crate::event_log::{LogEvent, ProcessState, RequestOutcome};
use crate::index::{RequestNumber, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Micros, Scenario, from_ms};
use crate::workload::{ArrivalStream, traffic_shares};

use connections::IdleConnections;
use settings::balancer_settings;

/// How long a sidecar goes on responding once it is asked to shut down, in microseconds: the real
/// program accepts for that long, and drains.
const SHUTDOWN_GRACE: Micros = 700_000;
/// Number of the first sidecar's stream for its clients' requests, apart from those for their
/// arrivals.
const REQUEST_STREAMS: usize = 1 << 30;

/// A sidecar, and all that is its own.
pub(super) struct Sidecar {
    pub(super) zone: u32,
    /// Counts its processes.
    incarnation: u32,
    /// Absent while it is down.
    balancer: Option<WorkAwareBalancer>,
    /// The endpoint list as it last had it.
    pub(super) endpoints: CachedEndpoints,
    /// Whether it watches the list.
    pub(super) watches: bool,
    /// Polls of the list so far: only the last one's result counts.
    pub(super) polls: u32,
    connections: IdleConnections,
    /// Open requests by their numbers.
    open_requests: BTreeMap<RequestNumber, RequestKey>,
    /// What its clients want.
    pub(super) arrivals: ArrivalStream,
    /// Draws its clients' timeouts and backoffs.
    pub(super) client_random: RandomStream,
    /// Draws delays, and the noise of attempts.
    pub(super) network_random: RandomStream,
    /// Draws the seeds of its balancers.
    seeds: RandomStream,
}

impl Sidecar {
    /// A sidecar that is down; `traffic_share` is its share of the traffic.
    fn new(
        scenario: &Scenario,
        sidecar_index: SidecarIndex,
        traffic_share: f64,
        endpoints: CachedEndpoints,
    ) -> Self {
        let stream = |cause, number| RandomStream::new(scenario.seed, cause, number);
        Self {
            zone: scenario.sidecar_zone(sidecar_index),
            incarnation: 0,
            balancer: None,
            endpoints,
            watches: false,
            polls: 0,
            connections: IdleConnections::default(),
            open_requests: BTreeMap::new(),
            arrivals: ArrivalStream::new(scenario, sidecar_index, traffic_share),
            // Requests draw from a stream of their own, so that arrivals stay as they are.
            client_random: stream(StreamId::Clients, sidecar_index.index() + REQUEST_STREAMS),
            network_random: stream(StreamId::Network, sidecar_index.index()),
            seeds: stream(StreamId::Seeds, sidecar_index.index()),
        }
    }

    /// Number of its present process.
    pub(super) fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Ends its watch and gives the poll's number.
    pub(super) fn on_poll_started(&mut self) -> u32 {
        self.watches = false;
        self.polls += 1;
        self.polls
    }

    /// Forgets the process with its connections and requests, and gives these back.
    fn on_killed(&mut self) -> (IdleConnections, BTreeMap<RequestNumber, RequestKey>) {
        self.balancer = None;
        self.watches = false;
        self.incarnation += 1;
        let connections = std::mem::take(&mut self.connections);
        (connections, std::mem::take(&mut self.open_requests))
    }
}

impl Simulator<'_> {
    pub(super) fn build_sidecars(&mut self) -> Result<(), SimulatorError> {
        let scenario = self.scenario;
        for (position, traffic_share) in traffic_shares(scenario).into_iter().enumerate() {
            let sidecar_index = SidecarIndex::from_position(position);
            balancer_settings(scenario, sidecar_index).validate()?;
            let endpoints = self.discovery.cached_list();
            let sidecar = Sidecar::new(scenario, sidecar_index, traffic_share, endpoints);
            self.sidecars.push(sidecar);
        }
        for sidecar_index in SidecarIndex::all(self.sidecars.len()) {
            self.start_sidecar(sidecar_index);
            self.schedule_next_arrival(sidecar_index);
        }
        Ok(())
    }

    /// Starts a sidecar with nothing but its last endpoint list.
    pub(super) fn start_sidecar(&mut self, sidecar_index: SidecarIndex) {
        let settings = balancer_settings(self.scenario, sidecar_index);
        let sidecar = &mut self.sidecars[sidecar_index.index()];
        let seed = sidecar.seeds.number();
        sidecar.balancer = WorkAwareBalancer::new(settings, seed).ok();
        sidecar.watches = false;
        self.record(LogEvent::SidecarStateChanged {
            sidecar: sidecar_index,
            state: ProcessState::Up,
        });
        self.restore_endpoints(sidecar_index);
    }

    pub(super) fn is_up(&self, sidecar_index: SidecarIndex) -> bool {
        self.sidecars[sidecar_index.index()].balancer.is_some()
    }

    /// The present process of a sidecar.
    pub(super) fn process(&self, sidecar_index: SidecarIndex) -> SidecarProcess {
        SidecarProcess {
            sidecar: sidecar_index,
            incarnation: self.sidecars[sidecar_index.index()].incarnation,
        }
    }

    /// Whether a process has not been killed since.
    pub(super) fn is_current(&self, process: SidecarProcess) -> bool {
        self.process(process.sidecar) == process
    }

    /// Ends a sidecar: what it holds is lost where it is killed, and responded to first where it is
    /// asked to shut down.
    pub(super) fn on_sidecar_restart(&mut self, restart: &SidecarRestart) {
        if !self.is_up(restart.sidecar) {
            return;
        }
        if restart.kill {
            self.kill_sidecar(restart.sidecar, restart.down_time);
            return;
        }
        self.record(LogEvent::SidecarStateChanged {
            sidecar: restart.sidecar,
            state: ProcessState::ShuttingDown,
        });
        let kill = SimulatorEvent::SidecarRestart(SidecarRestart {
            sidecar: restart.sidecar,
            down_time: restart.down_time.saturating_sub(SHUTDOWN_GRACE),
            kill: true,
        });
        self.timeline.after(SHUTDOWN_GRACE, kill);
    }

    fn kill_sidecar(&mut self, sidecar_index: SidecarIndex, down_time: Micros) {
        self.record(LogEvent::SidecarStateChanged {
            sidecar: sidecar_index,
            state: ProcessState::Killed,
        });
        let (connections, open) = self.sidecars[sidecar_index.index()].on_killed();
        for (server, server_start) in connections.into_connections() {
            self.servers[server.index()].close_connection(server_start);
        }
        for request in open.into_values() {
            self.lose_request(request);
        }
        self.timeline
            .after(down_time, SimulatorEvent::SidecarUp(sidecar_index));
    }

    /// Closes the connections of a request whose sidecar is gone.
    fn lose_request(&mut self, key: RequestKey) {
        let Some(request) = self.open.requests.get_mut(key) else {
            return;
        };
        let had_response = std::mem::replace(&mut request.responded, true);
        for attempt in std::mem::take(&mut request.attempts) {
            self.close_attempt_connection(attempt);
        }
        if !had_response {
            let delay = from_ms(self.scenario.network.client_ms);
            let lost = SimulatorEvent::ResponseAtClient(ClientResponse {
                request: key,
                outcome: RequestOutcome::ConnectionLost,
                retry_after: 0,
            });
            self.timeline.after(delay, lost);
        }
    }
}
