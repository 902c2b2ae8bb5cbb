//! The emulated discovery service, which answers polls and watches of the endpoint list.
//!
//! The list is updated with the scenario's delays, and the service handles a limited rate of polls.
//! This file holds the service's state; `endpoint_list` has the revisions of the list, and
//! `connection` serves the connections.

mod connection;
mod endpoint_list;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use arrowstand_balancer::EndpointStatus;
use arrowstand_platform::{self as platform, ListKind, ListedEndpoint, SkippedEntries};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::emulated_server::EmulatedServer;
use super::error::EmulatorError;
use super::lock::lock;
use super::ports::allocate_address;
use super::shared::Shared;
use crate::conversion::{MICROS_PER_S, count_from_u32, micros_from_f64};
use crate::event_log::{ListedStatus, LogEvent};
use crate::index::{ServerIndex, SidecarIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Micros, from_ms};

use endpoint_list::{EndpointList, ListEntry};

/// Availability of the service, as in the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// Responds normally.
    Up,
    /// Responds with errors, and closes all connections.
    Down,
    /// Does not respond, and keeps all connections open.
    Silent,
}

/// What a list or delta tells a sidecar about a server: its index, its status and its last start.
pub(super) type Notification = (ServerIndex, ListedStatus, Micros);

/// When the service responds to a poll, and whether it rejects the poll because of overload.
struct PollSchedule {
    respond_at: Micros,
    rejected: bool,
}

/// The service. It has one address per sidecar, which identifies the sidecar that connects.
pub(super) struct Discovery {
    shared: Arc<Shared>,
    servers: Vec<Arc<EmulatedServer>>,
    addresses: Vec<SocketAddr>,
    list: Mutex<EndpointList>,
    /// When the service will have handled all polls that it accepted.
    busy_until: Mutex<Micros>,
    random: Mutex<RandomStream>,
    /// Revision of the list; watches wait for it to change.
    revision: watch::Sender<u64>,
    availability: watch::Sender<Availability>,
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
    /// If no address is free, or an address cannot be listened on.
    pub(super) async fn start(
        shared: &Arc<Shared>,
        servers: &[Arc<EmulatedServer>],
    ) -> Result<Arc<Self>, EmulatorError> {
        let mut addresses = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..shared.scenario.sidecars.count {
            let address = allocate_address()?;
            listeners.push(listen(address).await?);
            addresses.push(address);
        }
        let list = EndpointList::new_ready(servers.iter().map(|server| server.started_at()));
        let seed = shared.scenario.seed;
        let discovery = Arc::new(Self {
            shared: Arc::clone(shared),
            servers: servers.to_vec(),
            addresses,
            revision: watch::channel(list.revision()).0,
            list: Mutex::new(list),
            busy_until: Mutex::new(0),
            random: Mutex::new(RandomStream::new(seed, StreamId::Discovery, 0)),
            availability: watch::channel(Availability::Up).0,
        });
        for (sidecar, listener) in SidecarIndex::all(listeners.len()).zip(listeners) {
            let accept_loop = Arc::clone(&discovery).accept(listener, sidecar);
            tokio::spawn(accept_loop);
        }
        Ok(discovery)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, sidecar: SidecarIndex) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(Arc::clone(&self).serve(stream, sidecar));
        }
    }

    /// Address of the service for a sidecar.
    pub(super) fn address(&self, sidecar: SidecarIndex) -> SocketAddr {
        self.addresses[sidecar.index()]
    }

    pub(super) fn set_availability(&self, availability: Availability) {
        self.availability.send_replace(availability);
    }

    /// Lists the new status of a server, unless a later incarnation of it is listed. `position` is
    /// its position in the list of emulated servers, which a replacement takes over from the server
    /// that it replaces.
    pub(super) fn set_status(
        &self,
        server: ServerIndex,
        position: usize,
        status: ListedStatus,
        started_at: Micros,
    ) {
        let mut list = lock(&self.list);
        if list.set_status(server, position, status, started_at) {
            self.revision.send_replace(list.revision());
        }
    }

    /// The full list for a sidecar, and the notifications that it contains.
    pub(super) fn full_list(&self, sidecar: SidecarIndex) -> (Value, Vec<Notification>) {
        let (list, _, notifications) = self.list_or_delta(sidecar, None);
        (list, notifications)
    }

    /// Returns the delta since a revision, or the full list if there is no revision. Also returns
    /// the revision that the message leads to, and the notifications that it contains.
    fn list_or_delta(
        &self,
        sidecar: SidecarIndex,
        since: Option<u64>,
    ) -> (Value, u64, Vec<Notification>) {
        let list = lock(&self.list);
        let mut endpoints = Vec::new();
        let mut notifications = Vec::new();
        for (server_index, entry) in list.changed_since(since) {
            let Some(server) = self.servers.get(entry.position) else {
                continue;
            };
            endpoints.push(self.listed_endpoint(sidecar, server_index, server, entry));
            notifications.push((server_index, entry.status, entry.started_at));
        }
        let revision = list.revision();
        let message = platform::EndpointList {
            revision,
            kind: if since.is_none() {
                ListKind::Full
            } else {
                ListKind::Delta
            },
            endpoints,
            skipped: SkippedEntries::default(),
        };
        (message.to_json(), revision, notifications)
    }

    /// The endpoint list entry of a server, with its address for a sidecar.
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

    /// Records the notifications that were sent to a sidecar.
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

    /// Schedules a poll behind those that are pending, since the service handles one at a time.
    fn schedule_poll(&self) -> PollSchedule {
        let discovery = &self.shared.scenario.discovery;
        let now = self.shared.clock.now();
        let latest_start = now + from_ms(discovery.timeout_ms);
        let mut busy_until = lock(&self.busy_until);
        let start = (*busy_until).max(now);
        if start > latest_start {
            return PollSchedule {
                respond_at: latest_start,
                rejected: true,
            };
        }
        *busy_until = start + micros_from_f64(MICROS_PER_S / discovery.capacity);
        PollSchedule {
            respond_at: *busy_until,
            rejected: false,
        }
    }

    /// Draws the delay after which a watch is notified, which spreads the notifications.
    fn draw_notification_delay(&self) -> Micros {
        let unit = lock(&self.random).uniform();
        from_ms(self.shared.scenario.discovery.spread_ms * unit)
    }
}
