//! The faults of a scenario, played on time: does to emulated servers, discovery and sidecars what
//! the simulator does to its own.
//!
//! Owns when each fault begins, ends and is listed. Which servers it hits is drawn by the
//! simulator's rules, so that both engines hit the same.

use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;

use super::Emulation;
use super::discovery::{Discovery, DiscoveryMode};
use super::emulated_server::{EmulatedServer, NetworkMode, ResponseFault};
use super::shared::Shared;
use super::sidecars::Termination;
use crate::event_log::{ListedStatus, ServerState};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::{Fault, FaultKind, from_ms, from_s};
use crate::simulator::faults::{rolling_restart_times, target_servers};

/// Plays the faults of the scenario to their ends.
pub(super) async fn play(emulation: &Emulation) {
    let first_replacement = ServerIndex::from_position(emulation.servers.len());
    let next_server_index = Arc::new(AtomicU32::new(first_replacement.value()));
    let mut tasks = JoinSet::new();
    for (fault_index, fault) in emulation.shared.scenario.fault.iter().enumerate() {
        match fault.kind {
            // These change the load, as it is drawn.
            FaultKind::Burst | FaultKind::ExpensiveRequests => {}
            FaultKind::RollingRestart | FaultKind::RestartAll => {
                restart_sidecars(emulation, fault_index, fault, &mut tasks);
            }
            FaultKind::DiscoveryDown => {
                tasks.spawn(play_discovery_fault(emulation, fault, DiscoveryMode::Down));
            }
            FaultKind::DiscoverySilent => {
                tasks.spawn(play_discovery_fault(
                    emulation,
                    fault,
                    DiscoveryMode::Silent,
                ));
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

/// Plays the faults, and then waits for ever.
pub(super) async fn play_for_ever(emulation: &Emulation) {
    play(emulation).await;
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
        let all = SidecarIndex::all(scenario.sidecars.count);
        all.map(|sidecar| (sidecar, 0)).collect()
    };
    let at = from_s(fault.at_s);
    let down = from_s(fault.down_s);
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
            sidecars.restart(sidecar, down, termination).await;
        });
    }
}

/// Sets discovery to a mode for as long as the fault lasts.
fn play_discovery_fault(
    emulation: &Emulation,
    fault: &Fault,
    mode: DiscoveryMode,
) -> impl Future<Output = ()> + Send + 'static {
    let discovery = Arc::clone(&emulation.discovery);
    let clock = emulation.shared.clock;
    let at = from_s(fault.at_s);
    let length = from_s(fault.for_s);
    async move {
        clock.sleep_until(at).await;
        discovery.set_mode(mode);
        clock.sleep_until(at + length).await;
        discovery.set_mode(DiscoveryMode::Up);
    }
}

fn schedule_server_faults(
    emulation: &Emulation,
    fault_index: usize,
    fault: &Fault,
    next_server_index: &Arc<AtomicU32>,
    tasks: &mut JoinSet<()>,
) {
    let zones: Vec<u32> = emulation.servers.iter().map(|s| s.zone()).collect();
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
        tasks.spawn(server_fault.play());
    }
}

/// A fault at one server.
struct ServerFault {
    shared: Arc<Shared>,
    discovery: Arc<Discovery>,
    server: Arc<EmulatedServer>,
    /// Place of the server among the emulated ones.
    position: usize,
    fault: Fault,
    /// Index of the next server that replaces another.
    next_server_index: Arc<AtomicU32>,
}

impl ServerFault {
    async fn play(self) {
        let at = from_s(self.fault.at_s);
        let length = from_s(self.fault.for_s);
        self.shared.clock.sleep_until(at).await;
        let server_index = self.server.index();
        self.start(server_index).await;
        self.shared.clock.sleep_until(at + length).await;
        self.end(server_index).await;
    }

    async fn start(&self, server_index: ServerIndex) {
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
                server.stop(NetworkMode::Refusing).await;
                self.update_list_later(server_index, ListedStatus::Gone, discovery.notice_ms);
            }
            FaultKind::Silence => {
                server.record_state(ServerState::Silent);
                server.stop(NetworkMode::Silent).await;
                self.update_list_later(
                    server_index,
                    ListedStatus::Gone,
                    discovery.silent_notice_ms,
                );
            }
            FaultKind::Drain | FaultKind::Replace => {
                server.set_draining();
                self.update_list_later(server_index, ListedStatus::Draining, discovery.notice_ms);
            }
            _ => {}
        }
    }

    async fn end(&self, server_index: ServerIndex) {
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
                self.update_list_later(server_index, ListedStatus::Ready, add_ms);
            }
            FaultKind::Drain => {
                server.stop(NetworkMode::Refusing).await;
                server.restart(None).await;
                self.update_list_later(server_index, ListedStatus::Ready, add_ms);
            }
            FaultKind::Replace => self.replace(server_index).await,
            _ => {}
        }
    }

    /// Stops the server, and starts another one at its addresses.
    async fn replace(&self, server_index: ServerIndex) {
        let discovery = &self.shared.scenario.discovery;
        self.server.stop(NetworkMode::Refusing).await;
        self.server.record_state(ServerState::Down);
        self.update_list_later(server_index, ListedStatus::Gone, discovery.notice_ms);
        let replacement = ServerIndex::new(self.next_server_index.fetch_add(1, Ordering::Relaxed));
        self.server.restart(Some(replacement)).await;
        self.update_list_later(replacement, ListedStatus::Ready, discovery.add_ms);
    }

    /// Has discovery list a status once it has noticed.
    fn update_list_later(&self, server_index: ServerIndex, status: ListedStatus, delay_ms: f64) {
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
