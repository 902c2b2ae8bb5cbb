//! Injects the faults of a scenario into the emulated servers, discovery and the sidecars.
//!
//! Schedules the start and end of each fault and the updates of the endpoint list that follow. The
//! targets are drawn by `simulator::faults`, so that a fault has the same targets in both engines.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;

use super::Emulation;
use super::discovery::{Availability, Discovery};
use super::emulated_server::{EmulatedServer, Reachability, ResponseFault};
use super::shared::Shared;
use super::sidecars::Termination;
use crate::event_log::{ListedStatus, ServerState};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::{Fault, FaultKind, from_ms, from_s};
use crate::simulator::faults::{rolling_restart_times, target_servers};

/// Runs the faults of the scenario until all have ended.
pub(super) async fn run(emulation: &Emulation) {
    let first_replacement = ServerIndex::from_position(emulation.servers.len());
    let next_server_index = Arc::new(AtomicU32::new(first_replacement.value()));
    let mut tasks = JoinSet::new();
    for (fault_index, fault) in emulation.shared.scenario.fault.iter().enumerate() {
        match fault.kind {
            // Applied by `workload` when the arrivals are drawn.
            FaultKind::Burst | FaultKind::ExpensiveRequests => {}
            FaultKind::RollingRestart | FaultKind::RestartAll => {
                restart_sidecars(emulation, fault_index, fault, &mut tasks);
            }
            FaultKind::DiscoveryDown => {
                tasks.spawn(run_discovery_fault(emulation, fault, Availability::Down));
            }
            FaultKind::DiscoverySilent => {
                tasks.spawn(run_discovery_fault(emulation, fault, Availability::Silent));
            }
            _ => schedule_server_faults(
                emulation,
                fault_index,
                fault,
                &next_server_index,
                &mut tasks,
            ),
        }
    }
    while tasks.join_next().await.is_some() {}
}

/// Runs the faults and then never returns.
pub(super) async fn run_forever(emulation: &Emulation) {
    run(emulation).await;
    pending::<()>().await;
}

fn restart_sidecars(
    emulation: &Emulation,
    fault_index: usize,
    fault: &Fault,
    tasks: &mut JoinSet<()>,
) {
    let scenario = &emulation.shared.scenario;
    let restarts = if fault.kind == FaultKind::RollingRestart {
        rolling_restart_times(scenario, fault_index)
    } else {
        let sidecars = SidecarIndex::all(scenario.sidecars.count);
        sidecars.map(|sidecar| (sidecar, 0)).collect()
    };
    let at = from_s(fault.at_s);
    let downtime = from_s(fault.down_s);
    let termination = if fault.kill {
        Termination::Kill
    } else {
        Termination::Graceful
    };
    for (sidecar, delay) in restarts {
        let sidecars = Arc::clone(&emulation.sidecars);
        let clock = emulation.shared.clock;
        tasks.spawn(async move {
            clock.sleep_until(at + delay).await;
            sidecars.restart(sidecar, downtime, termination).await;
        });
    }
}

/// Sets the availability of discovery for the duration of the fault.
fn run_discovery_fault(
    emulation: &Emulation,
    fault: &Fault,
    availability: Availability,
) -> impl Future<Output = ()> + Send + 'static {
    let discovery = Arc::clone(&emulation.discovery);
    let clock = emulation.shared.clock;
    let at = from_s(fault.at_s);
    let duration = from_s(fault.for_s);
    async move {
        clock.sleep_until(at).await;
        discovery.set_availability(availability);
        clock.sleep_until(at + duration).await;
        discovery.set_availability(Availability::Up);
    }
}

fn schedule_server_faults(
    emulation: &Emulation,
    fault_index: usize,
    fault: &Fault,
    next_server_index: &Arc<AtomicU32>,
    tasks: &mut JoinSet<()>,
) {
    let zones: Vec<u32> = emulation
        .servers
        .iter()
        .map(|server| server.zone())
        .collect();
    for target in target_servers(&emulation.shared.scenario, fault_index, &zones) {
        let position = target.index();
        let Some(server) = emulation.servers.get(position) else {
            continue;
        };
        let server_fault = ServerFault {
            shared: Arc::clone(&emulation.shared),
            discovery: Arc::clone(&emulation.discovery),
            server: Arc::clone(server),
            position,
            fault: fault.clone(),
            next_server_index: Arc::clone(next_server_index),
        };
        tasks.spawn(server_fault.run());
    }
}

/// A fault with one server as its target.
struct ServerFault {
    shared: Arc<Shared>,
    discovery: Arc<Discovery>,
    server: Arc<EmulatedServer>,
    /// Position of the server among the emulated servers; a replacement keeps it.
    position: usize,
    fault: Fault,
    /// The index for the next replacement server, shared by all faults.
    next_server_index: Arc<AtomicU32>,
}

impl ServerFault {
    async fn run(self) {
        let at = from_s(self.fault.at_s);
        let duration = from_s(self.fault.for_s);
        self.shared.clock.sleep_until(at).await;
        let server_index = self.server.index();
        self.inject(server_index).await;
        self.shared.clock.sleep_until(at + duration).await;
        self.clear(server_index).await;
    }

    async fn inject(&self, server_index: ServerIndex) {
        let server = &self.server;
        let share = self.fault.share;
        let discovery = &self.shared.scenario.discovery;
        match self.fault.kind {
            FaultKind::Pause => server.pause(),
            FaultKind::Slow => server.set_slowdown(self.fault.factor),
            FaultKind::ErrorResponses => {
                server.set_response_fault(ResponseFault::Errors(Some(share)));
            }
            FaultKind::MalformedResponses => {
                server.set_response_fault(ResponseFault::Malformed(share));
            }
            FaultKind::ConnectionResets => server.set_response_fault(ResponseFault::Reset(share)),
            FaultKind::Crash => {
                server.record_state(ServerState::Down);
                server.stop(Reachability::Refusing).await;
                self.schedule_list_change(server_index, ListedStatus::Gone, discovery.notice_ms);
            }
            FaultKind::Silence => {
                server.record_state(ServerState::Silent);
                server.stop(Reachability::Silent).await;
                self.schedule_list_change(
                    server_index,
                    ListedStatus::Gone,
                    discovery.silent_notice_ms,
                );
            }
            FaultKind::Drain | FaultKind::Replace => {
                server.set_draining();
                self.schedule_list_change(
                    server_index,
                    ListedStatus::Draining,
                    discovery.notice_ms,
                );
            }
            _ => {}
        }
    }

    async fn clear(&self, server_index: ServerIndex) {
        let server = &self.server;
        let add_ms = self.shared.scenario.discovery.add_ms;
        match self.fault.kind {
            FaultKind::Pause => server.resume(),
            FaultKind::Slow => server.set_slowdown(1.0),
            FaultKind::ErrorResponses => server.set_response_fault(ResponseFault::Errors(None)),
            FaultKind::MalformedResponses => {
                server.set_response_fault(ResponseFault::Malformed(0.0));
            }
            FaultKind::ConnectionResets => server.set_response_fault(ResponseFault::Reset(0.0)),
            FaultKind::Crash | FaultKind::Silence => {
                server.restart(None).await;
                self.schedule_list_change(server_index, ListedStatus::Ready, add_ms);
            }
            FaultKind::Drain => {
                server.stop(Reachability::Refusing).await;
                server.restart(None).await;
                self.schedule_list_change(server_index, ListedStatus::Ready, add_ms);
            }
            FaultKind::Replace => self.replace(server_index).await,
            _ => {}
        }
    }

    /// Stops the server and starts another one, with a new index, at its addresses.
    async fn replace(&self, server_index: ServerIndex) {
        let discovery = &self.shared.scenario.discovery;
        self.server.stop(Reachability::Refusing).await;
        self.server.record_state(ServerState::Down);
        self.schedule_list_change(server_index, ListedStatus::Gone, discovery.notice_ms);
        let replacement = ServerIndex::new(self.next_server_index.fetch_add(1, Ordering::Relaxed));
        self.server.restart(Some(replacement)).await;
        self.schedule_list_change(replacement, ListedStatus::Ready, discovery.add_ms);
    }

    /// Updates the server's status in the endpoint list after `delay_ms`, the time until discovery
    /// detects the change.
    fn schedule_list_change(&self, server_index: ServerIndex, status: ListedStatus, delay_ms: f64) {
        let discovery = Arc::clone(&self.discovery);
        let position = self.position;
        let started_at = self.server.started_at();
        let delay = Duration::from_micros(from_ms(delay_ms));
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            discovery.set_status(server_index, position, status, started_at);
        });
    }
}
