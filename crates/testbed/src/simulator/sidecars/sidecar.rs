//! The state of one sidecar, its start and its restarts.

use std::collections::BTreeMap;

use arrowstand_balancer::Action;
use arrowstand_control::WorkAwareBalancer;

use super::components::Components;
use super::endpoints::{CachedEndpoints, Subscription};
use super::idle_connections::IdleConnections;
use super::requests::OpenRequest;
use super::settings::balancer_settings;
use crate::event_log::{LogEvent, ProcessState};
use crate::index::{RequestNumber, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Micros, Scenario};
use crate::simulator::event::{SidecarRestart, SimulatorEvent};
use crate::simulator::process::SidecarProcess;

/// Time from the order to shut a sidecar down until its process ends, in microseconds. It accepts
/// and answers requests until then; the real program also accepts requests for this time, and
/// drains.
const SHUTDOWN_GRACE: Micros = 700_000;

/// A sidecar and its state.
pub(in crate::simulator) struct Sidecar {
    pub(super) index: SidecarIndex,
    /// Number of times that the sidecar was killed.
    incarnation: u32,
    /// Absent while the sidecar is down.
    pub(super) balancer: Option<WorkAwareBalancer>,
    /// The sidecar's copy of the endpoint list, with its poll and watch.
    pub(super) subscription: Subscription,
    pub(super) connections: IdleConnections,
    pub(super) open_requests: BTreeMap<RequestNumber, OpenRequest>,
    /// Reusable buffer for the balancer's actions.
    pub(super) actions: Vec<Action>,
    /// Random stream of the seeds of its balancers.
    seeds: RandomStream,
}

impl Sidecar {
    /// Creates a sidecar that is not started.
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

    /// Starts a new process, whose only earlier state is the cached endpoint list.
    pub(in crate::simulator) fn start(&mut self, components: &mut Components<'_, '_>) {
        let settings = balancer_settings(components.context.scenario(), self.index);
        let seed = self.seeds.next_u64();
        self.balancer = WorkAwareBalancer::new(settings, seed).ok();
        self.subscription.on_watch_ended();
        self.record_state(ProcessState::Up, components);
        self.restore_endpoints(components);
    }

    /// Whether the sidecar has a running process.
    pub(super) fn is_up(&self) -> bool {
        self.balancer.is_some()
    }

    /// Returns the current process; while the sidecar is down, the one that starts next.
    pub(super) fn process(&self) -> SidecarProcess {
        SidecarProcess {
            sidecar: self.index,
            incarnation: self.incarnation,
        }
    }

    /// Whether a process is the current one, which does not run while the sidecar is down.
    pub(super) fn is_current_process(&self, process: SidecarProcess) -> bool {
        self.process() == process
    }

    /// Whether a process is the current one and runs: it has started and was not killed.
    pub(super) fn is_process_running(&self, process: SidecarProcess) -> bool {
        self.is_current_process(process) && self.is_up()
    }

    /// Restarts the sidecar: kills it, which loses its open requests, or shuts it down, which gives
    /// it `SHUTDOWN_GRACE` to respond to them before it is killed.
    pub(super) fn on_restart(
        &mut self,
        restart: &SidecarRestart,
        components: &mut Components<'_, '_>,
    ) {
        if restart.kill {
            self.kill(restart.downtime, components);
            return;
        }
        self.record_state(ProcessState::ShuttingDown, components);
        let kill = SimulatorEvent::SidecarRestart(SidecarRestart {
            sidecar: self.index,
            downtime: restart.downtime.saturating_sub(SHUTDOWN_GRACE),
            kill: true,
        });
        components.context.schedule_after(SHUTDOWN_GRACE, kill);
    }

    fn kill(&mut self, downtime: Micros, components: &mut Components<'_, '_>) {
        self.record_state(ProcessState::Killed, components);
        self.balancer = None;
        self.incarnation += 1;
        self.subscription.on_watch_ended();
        let connections = std::mem::take(&mut self.connections);
        for (server, server_start_number) in connections.into_connections() {
            components
                .fleet
                .close_connection(server, server_start_number);
        }
        let open_requests = std::mem::take(&mut self.open_requests);
        for request in open_requests.into_values() {
            request.on_process_killed(components);
        }
        let up = SimulatorEvent::SidecarUp(self.index);
        components.context.schedule_after(downtime, up);
    }

    fn record_state(&self, state: ProcessState, components: &mut Components<'_, '_>) {
        let sidecar = self.index;
        components
            .context
            .record(LogEvent::SidecarStateChanged { sidecar, state });
    }
}
