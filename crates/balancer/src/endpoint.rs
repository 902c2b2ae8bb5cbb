//! Entries of the endpoint list, machine types and the kinds of list update.

use crate::time::Micros;

/// Identifier that the host assigns to a server for this balancer; the value carries no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// Status of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The server accepts requests.
    #[default]
    Ready,
    /// The server finishes its requests in flight; new requests must not be sent to it.
    Draining,
    /// The server is no longer listed.
    Removed,
}

/// Capacity of a machine type, as far as the deployment's configuration states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineType {
    /// Identifier of the type. Latency samples are shared by all servers of the same type.
    pub id: u32,
    /// Number of requests executed concurrently; above zero.
    pub cores: f64,
    /// Speed of one core relative to a standard core, which is 1; above zero.
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
    /// Identifier of the server.
    pub server: ServerId,
    /// Hash of the server's address. All balancers compute the same value, which identifies the
    /// server in gossip messages and orders the subset.
    pub stable_hash: u64,
    /// Status of the server.
    pub status: EndpointStatus,
    /// Time of the latest start in microseconds; `None` if that was long ago.
    pub incarnation: Option<Micros>,
    /// Zone of the server.
    pub zone: u32,
    /// Cell of the server.
    pub cell: u32,
    /// Machine type of the server.
    pub machine_type: MachineType,
}

impl Endpoint {
    /// Creates the entry of a ready server in zone 0 and cell 0 that was started long ago.
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

/// Content of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The servers that changed.
    Incremental,
    /// All servers; a server that is missing has been removed.
    Full,
    /// All servers as stored before the sidecar restarted; possibly stale.
    Cached,
    /// No servers: a poll failed or the subscription broke.
    Lost,
}
