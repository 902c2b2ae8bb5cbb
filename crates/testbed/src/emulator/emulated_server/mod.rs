//! Emulated servers: a server model behind HTTP/1.1, with everything that can go wrong on the wire.
//!
//! This file owns a server's identity and how its process is changed; the other files its
//! listeners, its connections, what it responds, and the faults that it suffers.

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
use super::ports::free_address;
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

/// Indexes of the servers' random streams begin here, apart from those of the server models.
const STREAM_OFFSET: usize = 1 << 20;

/// How the network responds for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NetworkMode {
    /// Connections open.
    Open,
    /// Connections are refused: the process is gone.
    Refusing,
    /// Nothing responds: the machine has vanished.
    Silent,
}

/// The network at a server: its mode, and a number that rises as all open connections are reset.
#[derive(Clone, Copy)]
struct Network {
    mode: NetworkMode,
    epoch: u32,
}

/// One server. Each sidecar has an address of its own at it, which identifies the sidecar.
pub(super) struct EmulatedServer {
    shared: Arc<Shared>,
    /// Its index in the event log; a replacement at the same addresses has another.
    index: AtomicU32,
    zone: u32,
    addresses: Vec<SocketAddr>,
    process: Mutex<ServerProcess>,
    listeners: Listeners,
    /// Notified when the process was changed, and its next event may be another.
    changed: Notify,
    network: watch::Sender<Network>,
}

impl EmulatedServer {
    /// Starts a server of the scenario.
    ///
    /// # Errors
    /// Where an address is missing or cannot be listened on.
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
        tokio::spawn(Arc::clone(&server).drive());
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
        let stream = STREAM_OFFSET + index.index();
        let random = RandomStream::new(scenario.seed, StreamId::Machines, stream);
        let model = ServerModel::from_scenario(scenario, machine_type, index, 0, group.cold);
        let addresses = (0..scenario.sidecars.count)
            .map(|_| free_address())
            .collect::<Result<_, _>>()?;
        let network = Network {
            mode: NetworkMode::Open,
            epoch: 0,
        };
        Ok(Self {
            shared: Arc::clone(shared),
            index: AtomicU32::new(index.value()),
            zone: scenario.server_zone(group, index),
            addresses,
            process: Mutex::new(ServerProcess::new(model, group.cold, random)),
            listeners: Listeners::default(),
            changed: Notify::new(),
            network: watch::channel(network).0,
        })
    }

    /// Its index in the event log.
    pub(super) fn index(&self) -> ServerIndex {
        ServerIndex::new(self.index.load(Ordering::Relaxed))
    }

    /// Index of its zone.
    pub(super) fn zone(&self) -> u32 {
        self.zone
    }

    /// Its address for a sidecar.
    pub(super) fn address(&self, sidecar: SidecarIndex) -> SocketAddr {
        self.addresses[sidecar.index()]
    }

    /// When it last started; 0 for before the run.
    pub(super) fn started_at(&self) -> Micros {
        lock(&self.process).started_at()
    }

    /// The machine type that the endpoint list names; empty where sidecars do not know machine
    /// types, as in the simulator.
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
        self.network.borrow().mode == NetworkMode::Silent
    }

    /// Changes the process, hands on what follows from it, and has the driver look again.
    fn update<T>(&self, change: impl FnOnce(&mut ServerProcess, Micros) -> T) -> T {
        let now = self.shared.clock.now();
        let (result, overloaded) = {
            let mut process = lock(&self.process);
            let result = change(&mut process, now);
            let overloaded =
                process.apply_events(|request, work| self.record_work_done(now, request, work));
            (result, overloaded)
        };
        if overloaded {
            self.on_overloaded();
        }
        self.changed.notify_one();
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

    /// It was overloaded while cold, and its process is gone.
    fn on_overloaded(&self) {
        self.record_state(ServerState::OverloadShutdown);
        self.network.send_modify(|network| {
            network.mode = NetworkMode::Refusing;
            network.epoch += 1;
        });
        self.listeners.abort();
    }

    /// Lets the model go on, for as long as the emulation lasts.
    async fn drive(self: Arc<Self>) {
        loop {
            match self.advance() {
                Some(next) => {
                    tokio::select! {
                        () = self.shared.clock.sleep_until(next) => self.shared.on_done(next),
                        () = self.changed.notified() => {}
                    }
                }
                None => self.changed.notified().await,
            }
        }
    }

    /// Plays the model up to now; the time of its next event, if there is one.
    fn advance(&self) -> Option<Micros> {
        let mut process = lock(&self.process);
        let now = self.shared.clock.now();
        process.advance(now);
        process.apply_events(|request, work| self.record_work_done(now, request, work));
        process.next_event_at()
    }
}
