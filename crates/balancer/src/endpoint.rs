//! Endpoints: the servers of the endpoint list, their machines and the kinds of list update.

use crate::time::Micros;

/// A server, as interned by the host for this balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// How a server stands in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// In service.
    #[default]
    Ready,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// What a machine of some kind can do, as far as the deployment tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineType {
    /// The kind's number: what is learnt of one server tells of the others of its kind.
    pub id: u32,
    /// Requests that it runs at a time; above zero.
    pub cores: f64,
    /// Work per time of one core, against a usual one; above zero.
    pub speed: f64,
}

impl Default for MachineType {
    fn default() -> Self {
        Self { id: 0, cores: 1.0, speed: 1.0 }
    }
}

/// One line of the server list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// A hash of the server's address, computed alike by every balancer: its name in gossip.
    pub stable_hash: u64,
    /// How it stands.
    pub status: EndpointStatus,
    /// Time of its most recent start; `None` for long ago. Serves as incarnation.
    pub incarnation: Option<Micros>,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// What kind of machine it is.
    pub machine_type: MachineType,
}

impl Endpoint {
    /// A ready server, started long ago, in zone 0 and cell 0.
    pub fn ready(server: ServerId, stable_hash: u64) -> Self {
        let status = EndpointStatus::Ready;
        Self { server, stable_hash, status, ..Self::default() }
    }
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the servers that changed.
    Incremental,
    /// Every server; one that is missing has been removed.
    Full,
    /// Every server as last known before a restart, possibly stale.
    Cached,
    /// Nothing: a call failed, or the subscription broke.
    Lost,
}
