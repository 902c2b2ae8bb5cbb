//! The events of a run.
//!
//! The keys of earlier versions are accepted as aliases, so that stored logs stay readable.

use serde::{Deserialize, Serialize};

use super::state::{ListedStatus, ProcessState, RequestOutcome, ServerState};
use crate::index::{
    ArrivalNumber, ClassIndex, RequestNumber, ServerIndex, SidecarIndex, TenantIndex,
};
use crate::scenario::Micros;

/// One event. An arrival is the first request of a client with all its retries, a request is one of
/// them as sent to the sidecar, and an attempt forwards the request to a server once. Indexes count
/// from 0; work is in microseconds of a standard core.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum LogEvent {
    /// A client starts an arrival.
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
        /// Expected work; 0 in logs of earlier versions, which lack it.
        #[serde(default)]
        work: f64,
    },
    /// The sidecar has received the last byte of a request and must respond by `due`.
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
        /// The request's deadline, from the start of the run.
        due: Micros,
    },
    /// The sidecar has sent the first byte of an attempt to a server.
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
    /// A server has received the last byte of an attempt.
    #[serde(alias = "arrived")]
    AttemptReceived {
        /// The request it is an attempt of.
        #[serde(alias = "tx")]
        request: RequestNumber,
        /// The server that received it.
        server: ServerIndex,
        /// The work that the attempt needs on this server.
        work: f64,
        /// Work that the server can currently do per microsecond.
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
        /// The work done.
        work: f64,
    },
    /// The client has received the final response to a request.
    #[serde(alias = "answered")]
    ResponseReceived {
        /// Number of the request.
        #[serde(alias = "tx")]
        request: RequestNumber,
        /// Outcome according to the response.
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
    /// The arrival has ended.
    #[serde(alias = "closed")]
    ArrivalEnded {
        /// Number of the arrival.
        #[serde(alias = "ask")]
        arrival: ArrivalNumber,
        /// How its last request ended.
        #[serde(alias = "how")]
        outcome: RequestOutcome,
        /// Number of requests sent for it.
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
        /// Time of the server's last start; 0 if it was before the run.
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
    /// A server has completed the handshake of a new connection.
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
    /// A server's requests in flight and connections, sampled once a second.
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

/// An event with its time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Microseconds since the start of the run.
    pub at: Micros,
    /// The event.
    #[serde(flatten)]
    pub event: LogEvent,
}
