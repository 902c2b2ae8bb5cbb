//! Endpoints: the servers of the endpoint list, their machines and the kinds of list update.

use crate::time::Micros;

/// A server, as the host numbers it for this balancer; the number itself has no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// The status of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes the requests it has; no new one may be sent.
    Draining,
    /// It is not in the list.
    Removed,
}

/// The capacity of a type of machine, as far as the deployment states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineType {
    /// Number of the type: latencies of one server count for all servers of its type.
    pub id: u32,
    /// Requests that it executes at once; above zero.
    pub cores: f64,
    /// Speed of one core, where 1 is usual; above zero.
    pub speed: f64,
}

impl Default for MachineType {
    fn default() -> Self {
        Self {
            id: 0,
            cores: 1.0,
            speed: 1.0,
        }
    }
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// A hash of the server's address that every balancer computes alike: it names the server in
    /// gossip.
    pub stable_hash: u64,
    /// Its status.
    pub status: EndpointStatus,
    /// Time of its latest start, in microseconds; `None` for long ago.
    pub incarnation: Option<Micros>,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// The type of its machine.
    pub machine_type: MachineType,
}

impl Endpoint {
    /// A ready server, started long ago, in zone 0 and cell 0.
    pub fn ready(server: ServerId, stable_hash: u64) -> Self {
        let status = EndpointStatus::Ready;
        Self {
            server,
            stable_hash,
            status,
            ..Self::default()
        }
    }
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the servers that changed.
    Incremental,
    /// Every server; one that is missing has been removed.
    Full,
    /// Every server as last known before a restart, possibly stale.
    Cached,
    /// Nothing: a poll failed, or the subscription broke.
    Lost,
}
