//! One sidecar: its state, its start and its restarts.

use std::collections::BTreeMap;

use arrowstand_balancer::Action;
use arrowstand_control::WorkAwareBalancer;

use super::connections::IdleConnections;
use super::endpoints::{CachedEndpoints, Subscription};
use super::environment::Environment;
use super::requests::OpenRequest;
use super::settings::balancer_settings;
use crate::event_log::{LogEvent, ProcessState};
use crate::index::{RequestNumber, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Micros, Scenario};
use crate::simulator::event::{SidecarRestart, SimulatorEvent};
use crate::simulator::process::SidecarProcess;

/// How long a sidecar goes on responding once it is asked to shut down, in microseconds: the real
/// program accepts for that long, and drains.
const SHUTDOWN_GRACE: Micros = 700_000;

/// A sidecar, and all that is its own.
pub(in crate::simulator) struct Sidecar {
    pub(super) index: SidecarIndex,
    /// Counts its processes.
    incarnation: u32,
    /// Absent while it is down.
    pub(super) balancer: Option<WorkAwareBalancer>,
    /// What it knows of the endpoint list.
    pub(super) subscription: Subscription,
    pub(super) connections: IdleConnections,
    /// Open requests by their numbers.
    pub(super) open_requests: BTreeMap<RequestNumber, OpenRequest>,
    /// Buffer of what its balancer asks for.
    pub(super) actions: Vec<Action>,
    /// Draws the seeds of its balancers.
    seeds: RandomStream,
}

impl Sidecar {
    /// A sidecar that is down.
    pub(super) fn new(scenario: &Scenario, index: SidecarIndex, cached: CachedEndpoints) -> Self {
        Self {
            index,
            incarnation: 0,
            balancer: None,
            subscription: Subscription::new(cached),
            connections: IdleConnections::default(),
            open_requests: BTreeMap::new(),
            actions: Vec::new(),
            seeds: RandomStream::new(scenario.seed, StreamId::Seeds, index.index()),
        }
    }

    /// Starts with nothing but its last endpoint list.
    pub(in crate::simulator) fn start(&mut self, environment: &mut Environment<'_, '_>) {
        let settings = balancer_settings(environment.context.scenario(), self.index);
        let seed = self.seeds.next_u64();
        self.balancer = WorkAwareBalancer::new(settings, seed).ok();
        self.subscription.on_watch_ended();
        self.record_state(ProcessState::Up, environment);
        self.restore_endpoints(environment);
    }

    pub(super) fn is_up(&self) -> bool {
        self.balancer.is_some()
    }

    /// Its present process.
    pub(super) fn process(&self) -> SidecarProcess {
        SidecarProcess {
            sidecar: self.index,
            incarnation: self.incarnation,
        }
    }

    /// Whether a process has not been killed since.
    pub(super) fn is_current(&self, process: SidecarProcess) -> bool {
        self.process() == process
    }

    /// Whether a process is the present one, and up.
    pub(super) fn is_running(&self, process: SidecarProcess) -> bool {
        self.is_current(process) && self.is_up()
    }

    /// Ends it: what it holds is lost where it is killed, and responded to first where it is asked
    /// to shut down.
    pub(super) fn on_restart(
        &mut self,
        restart: &SidecarRestart,
        environment: &mut Environment<'_, '_>,
    ) {
        if restart.kill {
            self.kill(restart.down_time, environment);
            return;
        }
        self.record_state(ProcessState::ShuttingDown, environment);
        let kill = SimulatorEvent::SidecarRestart(SidecarRestart {
            sidecar: self.index,
            down_time: restart.down_time.saturating_sub(SHUTDOWN_GRACE),
            kill: true,
        });
        environment.context.after(SHUTDOWN_GRACE, kill);
    }

    fn kill(&mut self, down_time: Micros, environment: &mut Environment<'_, '_>) {
        self.record_state(ProcessState::Killed, environment);
        self.balancer = None;
        self.incarnation += 1;
        self.subscription.on_watch_ended();
        let connections = std::mem::take(&mut self.connections);
        for (server, server_start) in connections.into_connections() {
            environment.fleet.close_connection(server, server_start);
        }
        let open_requests = std::mem::take(&mut self.open_requests);
        for request in open_requests.into_values() {
            request.on_process_lost(environment);
        }
        let up = SimulatorEvent::SidecarUp(self.index);
        environment.context.after(down_time, up);
    }

    fn record_state(&self, state: ProcessState, environment: &mut Environment<'_, '_>) {
        let sidecar = self.index;
        environment
            .context
            .record(LogEvent::SidecarStateChanged { sidecar, state });
    }
}
