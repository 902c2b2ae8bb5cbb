//! The events of a run.
//!
//! Keys of earlier versions are accepted as aliases, so that stored logs stay readable.

use serde::{Deserialize, Serialize};

use super::state::{ListedStatus, ProcessState, RequestOutcome, ServerState};
use crate::index::{
    ArrivalNumber, ClassIndex, RequestNumber, ServerIndex, SidecarIndex, TenantIndex,
};
use crate::scenario::Micros;

/// One event. An `arrival` is what a client wants, a `request` one try of it at the sidecar, an
/// attempt one forwarding of the request to a server. `server` and `sidecar` count from 0; work is
/// in microseconds of a standard core.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum LogEvent {
    /// A client wants something.
    #[serde(alias = "asked")]
    ArrivalStarted {
        /// Number of the arrival.
        #[serde(alias = "ask")]
        arrival: ArrivalNumber,
        /// The client's sidecar.
        sidecar: SidecarIndex,
        /// Index of the request class.
        class: ClassIndex,
        /// Index of the tenant.
        #[serde(alias = "shop")]
        tenant: TenantIndex,
        /// Whether the tenant is within its quota.
        #[serde(rename = "within_share", alias = "within")]
        within_quota: bool,
        /// Expected work; absent in logs of earlier versions.
        #[serde(default)]
        work: f64,
    },
    /// The sidecar has a request's last byte, and must respond by `due`.
    #[serde(alias = "taken")]
    RequestAccepted {
        /// Number of the request.
        #[serde(alias = "tx")]
        request: RequestNumber,
        /// The arrival it belongs to.
        #[serde(alias = "ask")]
        arrival: ArrivalNumber,
        /// The sidecar that accepted it.
        sidecar: SidecarIndex,
        /// Index of the request class.
        class: ClassIndex,
        /// The client's deadline.
        due: Micros,
    },
    /// The first byte of an attempt is out to a server.
    #[serde(alias = "began")]
    AttemptStarted {
        /// The request it is an attempt of.
        #[serde(alias = "tx")]
        request: RequestNumber,
        /// The sidecar that forwards it.
        sidecar: SidecarIndex,
        /// The server it goes to.
        server: ServerIndex,
        /// Whether sidecar and server are in different zones.
        #[serde(alias = "crossing")]
        cross_zone: bool,
    },
    /// A server has an attempt's last byte.
    #[serde(alias = "arrived")]
    AttemptReceived {
        /// The request it is an attempt of.
        #[serde(alias = "tx")]
        request: RequestNumber,
        /// The server that received it.
        server: ServerIndex,
        /// The work that it takes there.
        work: f64,
        /// Work that the server can do per microsecond now.
        capacity: f64,
        /// Whether the server is still warming up.
        cold: bool,
    },
    /// The server rejected the attempt without executing it.
    #[serde(alias = "turned_away")]
    AttemptRejected {
        /// The request it is an attempt of.
        #[serde(alias = "tx")]
        request: RequestNumber,
        /// The server that rejected it.
        server: ServerIndex,
    },
    /// The server executed the attempt.
    #[serde(alias = "ran")]
    WorkDone {
        /// The request it is an attempt of.
        #[serde(alias = "tx")]
        request: RequestNumber,
        /// The server that executed it.
        server: ServerIndex,
        /// The work that was done.
        work: f64,
    },
    /// The client has the final response to a request.
    #[serde(alias = "answered")]
    ResponseReceived {
        /// Number of the request.
        #[serde(alias = "tx")]
        request: RequestNumber,
        /// What the response says.
        #[serde(alias = "how")]
        outcome: RequestOutcome,
    },
    /// The client disconnected before the final response.
    #[serde(alias = "left")]
    ClientDisconnected {
        /// Number of the request.
        #[serde(alias = "tx")]
        request: RequestNumber,
    },
    /// The arrival has come to its end.
    #[serde(alias = "closed")]
    ArrivalEnded {
        /// Number of the arrival.
        #[serde(alias = "ask")]
        arrival: ArrivalNumber,
        /// How its last request ended.
        #[serde(alias = "how")]
        outcome: RequestOutcome,
        /// Requests that it took.
        #[serde(alias = "tries")]
        requests: u32,
    },
    /// A sidecar was notified of a server's status.
    #[serde(alias = "listed")]
    EndpointListed {
        /// The sidecar that was notified.
        sidecar: SidecarIndex,
        /// The server it was notified of.
        server: ServerIndex,
        /// The server's status.
        #[serde(alias = "listing")]
        status: ListedStatus,
        /// When the server last started; 0 for before the run.
        #[serde(alias = "launched")]
        incarnation: Micros,
    },
    /// A sidecar's process changed its state.
    #[serde(alias = "sidecar")]
    SidecarStateChanged {
        /// The sidecar.
        sidecar: SidecarIndex,
        /// Its new state.
        #[serde(alias = "life")]
        state: ProcessState,
    },
    /// A server changed its state.
    #[serde(alias = "server")]
    ServerStateChanged {
        /// The server.
        server: ServerIndex,
        /// Index of its zone.
        zone: u32,
        /// Its new state.
        #[serde(alias = "fate")]
        state: ServerState,
    },
    /// A sidecar's health check reached a server.
    #[serde(alias = "probed")]
    HealthChecked {
        /// The sidecar that checks.
        sidecar: SidecarIndex,
        /// The server that is checked.
        server: ServerIndex,
    },
    /// A new connection has cost a server its handshake.
    #[serde(alias = "opened")]
    ConnectionOpened {
        /// The server.
        server: ServerIndex,
    },
    /// A sidecar polled discovery.
    #[serde(alias = "called")]
    DiscoveryPolled {
        /// The sidecar.
        sidecar: SidecarIndex,
    },
    /// What a server has in flight, once a second.
    #[serde(alias = "gauge")]
    ServerGauge {
        /// The server.
        server: ServerIndex,
        /// Attempts in flight.
        #[serde(alias = "held")]
        in_flight: u32,
        /// Open connections.
        connections: u32,
    },
}

/// An event and its time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Microseconds since the run began.
    pub at: Micros,
    /// What happened.
    #[serde(flatten)]
    pub event: LogEvent,
}
