//! The emulated discovery service: a list that is updated late, polls handled in turn, and watches
//! on changes.
//!
//! This file owns the service's state; `endpoint_list` what is listed, `connection` how it is sent.

mod connection;
mod endpoint_list;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use arrowstand_balancer::EndpointStatus;
use arrowstand_platform::{self as platform, ListKind, ListedEndpoint};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::emulated_server::EmulatedServer;
use super::error::EmulatorError;
use super::lock::lock;
use super::ports::free_address;
use super::shared::Shared;
use crate::conversion::{MICROS_PER_S, count_from_u32, micros_from_f64};
use crate::event_log::{ListedStatus, LogEvent};
use crate::index::{ServerIndex, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Micros, from_ms};

use endpoint_list::{EndpointList, ListEntry};

/// How the service responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// As it should.
    Up,
    /// With errors, and every connection is closed.
    Down,
    /// Not at all, and every connection stays.
    Silent,
}

/// What a response says of one server: which it is, its status, and when it last started.
pub(super) type Notification = (ServerIndex, ListedStatus, Micros);

/// When a poll is responded to, and whether with the list or with an overload rejection.
struct Turn {
    at: Micros,
    rejected: bool,
}

/// The service; each sidecar has an address of its own at it, which identifies the sidecar.
pub(super) struct Discovery {
    shared: Arc<Shared>,
    servers: Vec<Arc<EmulatedServer>>,
    addresses: Vec<SocketAddr>,
    list: Mutex<EndpointList>,
    /// Until when earlier polls keep the service busy.
    busy_until: Mutex<Micros>,
    random: Mutex<RandomStream>,
    /// The list's version; watches wait for its change.
    version: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EmulatorError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| EmulatorError::Listen { address, source })
}

impl Discovery {
    /// Starts the service with all servers listed as ready.
    ///
    /// # Errors
    /// Where an address is missing or cannot be listened on.
    pub(super) async fn start(
        shared: &Arc<Shared>,
        servers: &[Arc<EmulatedServer>],
    ) -> Result<Arc<Self>, EmulatorError> {
        let mut addresses = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..shared.scenario.sidecars.count {
            let address = free_address()?;
            listeners.push(listen(address).await?);
            addresses.push(address);
        }
        let list = EndpointList::of_ready(servers.iter().map(|server| server.started_at()));
        let seed = shared.scenario.seed;
        let discovery = Arc::new(Self {
            shared: Arc::clone(shared),
            servers: servers.to_vec(),
            addresses,
            version: watch::channel(list.version()).0,
            list: Mutex::new(list),
            busy_until: Mutex::new(0),
            random: Mutex::new(RandomStream::new(seed, StreamId::Discovery, 0)),
            mode: watch::channel(Mode::Up).0,
        });
        for (sidecar, listener) in SidecarIndex::all(listeners.len()).zip(listeners) {
            let accepting = Arc::clone(&discovery).accept(listener, sidecar);
            tokio::spawn(accepting);
        }
        Ok(discovery)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, sidecar: SidecarIndex) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(Arc::clone(&self).serve(stream, sidecar));
        }
    }

    /// The service's address for a sidecar.
    pub(super) fn address(&self, sidecar: SidecarIndex) -> SocketAddr {
        self.addresses[sidecar.index()]
    }

    pub(super) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Lists a server's new status, unless a later start of it is listed already. `position`
    /// is its place among the emulated servers, where a replacement has that of its predecessor.
    pub(super) fn set(
        &self,
        server: ServerIndex,
        position: usize,
        status: ListedStatus,
        started_at: Micros,
    ) {
        let mut list = lock(&self.list);
        if list.set(server, position, status, started_at) {
            self.version.send_replace(list.version());
        }
    }

    /// The whole list as a sidecar gets it, and what it is notified of by it.
    pub(super) fn whole_list(&self, sidecar: SidecarIndex) -> (Value, Vec<Notification>) {
        let (list, _, notifications) = self.list_since(sidecar, None);
        (list, notifications)
    }

    /// What has changed since a version, or the whole list, with its version.
    fn list_since(
        &self,
        sidecar: SidecarIndex,
        since: Option<u64>,
    ) -> (Value, u64, Vec<Notification>) {
        let list = lock(&self.list);
        let mut endpoints = Vec::new();
        let mut notifications = Vec::new();
        for (server_index, entry) in list.since(since) {
            let Some(server) = self.servers.get(entry.position) else {
                continue;
            };
            endpoints.push(self.listed_endpoint(sidecar, server_index, server, entry));
            notifications.push((server_index, entry.status, entry.started_at));
        }
        let version = list.version();
        let message = platform::EndpointList {
            revision: version,
            kind: if since.is_none() {
                ListKind::Full
            } else {
                ListKind::Delta
            },
            endpoints,
            skipped: Vec::new(),
        };
        (message.to_json(), version, notifications)
    }

    /// A server as the list names it, with its address for a sidecar.
    fn listed_endpoint(
        &self,
        sidecar: SidecarIndex,
        server_index: ServerIndex,
        server: &EmulatedServer,
        entry: &ListEntry,
    ) -> ListedEndpoint {
        let zones = &self.shared.scenario.network.zones;
        let zone = zones.get(count_from_u32(server.zone()));
        ListedEndpoint {
            id: server_index.to_string(),
            address: server.address(sidecar),
            zone: zone.cloned().unwrap_or_default(),
            cell: server.zone(),
            machine_type: server.listed_machine_type(),
            status: match entry.status {
                ListedStatus::Ready => EndpointStatus::Ready,
                ListedStatus::Draining => EndpointStatus::Draining,
                ListedStatus::Gone => EndpointStatus::Removed,
            },
            started_at: self.shared.clock.unix_time(entry.started_at),
        }
    }

    /// Records what a sidecar was notified of.
    pub(super) fn record_notifications(
        &self,
        sidecar: SidecarIndex,
        notifications: &[Notification],
    ) {
        for &(server, status, incarnation) in notifications {
            self.shared.record(LogEvent::EndpointListed {
                sidecar,
                server,
                status,
                incarnation,
            });
        }
    }

    /// Takes the next turn of the service, which handles one poll after the other.
    fn take_turn(&self) -> Turn {
        let discovery = &self.shared.scenario.discovery;
        let now = self.shared.clock.now();
        let latest_start = now + from_ms(discovery.timeout_ms);
        let mut busy_until = lock(&self.busy_until);
        let start = (*busy_until).max(now);
        if start > latest_start {
            return Turn {
                at: latest_start,
                rejected: true,
            };
        }
        *busy_until = start + micros_from_f64(MICROS_PER_S / discovery.capacity);
        Turn {
            at: *busy_until,
            rejected: false,
        }
    }

    /// A delay for the notification of a change, drawn for each watch.
    fn draw_spread(&self) -> Micros {
        let unit = lock(&self.random).uniform();
        from_ms(self.shared.scenario.discovery.spread_ms * unit)
    }
}
