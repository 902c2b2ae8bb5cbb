//! Emulated servers: server models behind HTTP/1.1, with faults of the process, the network and the
//! responses.
//!
//! This module sets a server up, changes its process and runs its model. `listeners` accepts its
//! connections, `connection` reads requests and writes replies, `attempt` and `health_check`
//! produce the replies, and `faults` applies faults.

mod admission;
mod attempt;
mod connection;
mod faults;
mod gauges;
mod health_check;
mod listeners;
mod process;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use tokio::sync::{Notify, watch};

use super::error::EmulatorError;
use super::lock::lock;
use super::ports::allocate_address;
use super::shared::Shared;
use crate::event_log::{LogEvent, ServerState};
use crate::index::{RequestNumber, ServerIndex, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{MachineType, Micros, ServerGroup};
use crate::server_model::ServerModel;

use listeners::Listeners;
use process::ServerProcess;

pub(super) use faults::ResponseFault;
pub(super) use gauges::record_gauges;

/// Offset of the indexes of the servers' random streams, which keeps them apart from those of the
/// server models.
const RANDOM_STREAM_OFFSET: usize = 1 << 20;

/// How a server reacts to packets, as in the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reachability {
    /// Connections are accepted.
    Open,
    /// Connections are refused: the process is not running.
    Refusing,
    /// Connection attempts and requests get no answer: the machine has failed.
    Silent,
}

/// State of the network at a server.
#[derive(Clone, Copy)]
struct Network {
    reachability: Reachability,
    /// Incremented to reset all open connections.
    connection_epoch: u32,
}

/// An emulated server. It has one address per sidecar, which identifies the sidecar that connects.
pub(super) struct EmulatedServer {
    shared: Arc<Shared>,
    /// Index in the event log; changes when a replacement takes over the addresses.
    index: AtomicU32,
    zone: u32,
    addresses: Vec<SocketAddr>,
    process: Mutex<ServerProcess>,
    listeners: Listeners,
    /// Notified of each change to the process, which may change the time of its next event.
    process_changed: Notify,
    network: watch::Sender<Network>,
}

impl EmulatedServer {
    /// Starts a server of the scenario.
    ///
    /// # Errors
    /// If no address is free, or an address cannot be listened on.
    pub(super) async fn start(
        shared: &Arc<Shared>,
        index: ServerIndex,
        machine_type: &MachineType,
        group: &ServerGroup,
    ) -> Result<Arc<Self>, EmulatorError> {
        let server = Arc::new(Self::new(shared, index, machine_type, group)?);
        server.listen().await?;
        server.record_state(if group.cold {
            ServerState::Cold
        } else {
            ServerState::Up
        });
        tokio::spawn(Arc::clone(&server).run_model());
        Ok(server)
    }

    /// A server that does not listen yet.
    fn new(
        shared: &Arc<Shared>,
        index: ServerIndex,
        machine_type: &MachineType,
        group: &ServerGroup,
    ) -> Result<Self, EmulatorError> {
        let scenario = &shared.scenario;
        let stream = RANDOM_STREAM_OFFSET + index.index();
        let random = RandomStream::new(scenario.seed, StreamId::Servers, stream);
        let model = ServerModel::from_scenario(scenario, machine_type, index, 0, group.cold);
        let addresses = (0..scenario.sidecars.count)
            .map(|_| allocate_address())
            .collect::<Result<_, _>>()?;
        let network = Network {
            reachability: Reachability::Open,
            connection_epoch: 0,
        };
        Ok(Self {
            shared: Arc::clone(shared),
            index: AtomicU32::new(index.value()),
            zone: scenario.server_zone(group, index),
            addresses,
            process: Mutex::new(ServerProcess::new(model, group.cold, random)),
            listeners: Listeners::default(),
            process_changed: Notify::new(),
            network: watch::channel(network).0,
        })
    }

    /// Index in the event log.
    pub(super) fn index(&self) -> ServerIndex {
        ServerIndex::new(self.index.load(Ordering::Relaxed))
    }

    /// Index of the zone.
    pub(super) fn zone(&self) -> u32 {
        self.zone
    }

    /// Address of the server for a sidecar.
    pub(super) fn address(&self, sidecar: SidecarIndex) -> SocketAddr {
        self.addresses[sidecar.index()]
    }

    /// When the process last started; 0 if it was warm when the run began.
    pub(super) fn started_at(&self) -> Micros {
        lock(&self.process).started_at()
    }

    /// The machine type in the endpoint list; empty if sidecars do not know machine types, as in
    /// the simulator.
    pub(super) fn listed_machine_type(&self) -> String {
        if self.shared.scenario.sidecars.knows_machine_types {
            lock(&self.process).machine_type().name.clone()
        } else {
            String::new()
        }
    }

    pub(super) fn record_state(&self, state: ServerState) {
        self.record_state_at(self.shared.clock.now(), state);
    }

    fn record_state_at(&self, at: Micros, state: ServerState) {
        self.shared.record_at(
            at,
            LogEvent::ServerStateChanged {
                server: self.index(),
                zone: self.zone,
                state,
            },
        );
    }

    fn is_silent(&self) -> bool {
        self.network.borrow().reachability == Reachability::Silent
    }

    /// Changes the process, applies the events of its model, and wakes the model's task.
    fn update_process<T>(&self, change: impl FnOnce(&mut ServerProcess, Micros) -> T) -> T {
        let now = self.shared.clock.now();
        let (result, overloaded) = {
            let mut process = lock(&self.process);
            let result = change(&mut process, now);
            let overloaded =
                process.apply_events(|request, work| self.record_work_done(now, request, work));
            (result, overloaded)
        };
        if overloaded {
            self.on_overload_shutdown();
        }
        self.process_changed.notify_one();
        result
    }

    fn record_work_done(&self, at: Micros, request: RequestNumber, work: f64) {
        self.shared.record_at(
            at,
            LogEvent::WorkDone {
                request,
                server: self.index(),
                work,
            },
        );
    }

    /// Handles that the process was overloaded while cold and has shut down.
    fn on_overload_shutdown(&self) {
        self.record_state(ServerState::OverloadShutdown);
        self.network.send_modify(|network| {
            network.reachability = Reachability::Refusing;
            network.connection_epoch += 1;
        });
        self.listeners.abort();
    }

    /// Runs the model for as long as the emulation lasts.
    async fn run_model(self: Arc<Self>) {
        loop {
            match self.advance_model() {
                Some(next) => {
                    tokio::select! {
                        () = self.shared.clock.sleep_until(next) => self.shared.record_lag(next),
                        () = self.process_changed.notified() => {}
                    }
                }
                None => self.process_changed.notified().await,
            }
        }
    }

    /// Advances the model to the present; returns the time of its next event, if there is one.
    fn advance_model(&self) -> Option<Micros> {
        let mut process = lock(&self.process);
        let now = self.shared.clock.now();
        process.advance(now);
        process.apply_events(|request, work| self.record_work_done(now, request, work));
        process.next_event_at()
    }
}
