//! The events of a run, and the states and outcomes that they report.
//!
//! Keys of earlier versions are accepted as aliases, so that stored logs stay readable.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::scenario::Micros;

/// How a request, or an arrival with all its requests, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// A server's response to this very request.
    Served,
    /// An overload rejection: a retry is harmless.
    #[serde(alias = "refused")]
    Rejected,
    /// An error response, with no promise about side effects.
    Failed,
    /// A response that no server made for this request.
    #[serde(alias = "wrong")]
    Mismatched,
    /// No response until the client timed out.
    Unanswered,
    /// The sidecar was killed, or closed the connection without a response.
    #[serde(alias = "cut")]
    ConnectionLost,
    /// No sidecar accepted the request.
    #[serde(alias = "unreached")]
    Unreachable,
    /// The client disconnected first.
    #[serde(alias = "left")]
    Disconnected,
    /// Not played: more requests were open than the scenario allows.
    #[serde(alias = "choked_off")]
    NotPlayed,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Served => "served",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Mismatched => "mismatched",
            Self::Unanswered => "unanswered",
            Self::ConnectionLost => "connection lost",
            Self::Unreachable => "unreachable",
            Self::Disconnected => "disconnected",
            Self::NotPlayed => "not played",
        })
    }
}

/// A server's status in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedStatus {
    /// Takes new requests.
    Ready,
    /// Finishes what it has, and takes nothing new.
    Draining,
    /// No longer there.
    Gone,
}

/// The state of a sidecar's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    /// Started.
    Up,
    /// Notified to shut down: it still has to respond to what it has accepted.
    Ending,
    /// Ended by itself, after it was notified.
    Ended,
    /// Killed outright.
    Killed,
}

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Runs as usual.
    Up,
    /// Has just started, and is warming up.
    Cold,
    /// Its process stands still, as in a long garbage collection.
    Paused,
    /// Its machine has vanished: connections neither open nor close.
    Silent,
    /// Serves more slowly than usual.
    Slow,
    /// Rejects new requests.
    Draining,
    /// Its process is gone: connections are refused.
    Down,
    /// Was overloaded while cold, and is gone.
    Fallen,
}

/// One event. An `arrival` is what a client wants, a `request` one try of it at the sidecar, an attempt one
/// forwarding of the request to a server. `server` and `sidecar` count from 0; work is in microseconds of a
/// standard core.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum LogEvent {
    /// A client wants something.
    #[serde(alias = "asked")]
    ArrivalStarted {
        /// Number of the arrival.
        #[serde(alias = "ask")]
        arrival: u64,
        /// The client's sidecar.
        sidecar: u32,
        /// Index of the request class.
        class: u16,
        /// Index of the tenant.
        #[serde(alias = "shop")]
        tenant: u16,
        /// Whether the tenant is within its quota.
        #[serde(alias = "within")]
        within_share: bool,
        /// Expected work; absent in logs of earlier versions.
        #[serde(default)]
        work: f64,
    },
    /// The sidecar has a request's last byte, and must respond by `due`.
    #[serde(alias = "taken")]
    RequestAccepted {
        /// Number of the request.
        #[serde(alias = "tx")]
        request: u64,
        /// The arrival it belongs to.
        #[serde(alias = "ask")]
        arrival: u64,
        /// The sidecar that accepted it.
        sidecar: u32,
        /// Index of the request class.
        class: u16,
        /// The client's deadline.
        due: Micros,
    },
    /// The first byte of an attempt is out to a server.
    #[serde(alias = "began")]
    AttemptStarted {
        /// The request it is an attempt of.
        #[serde(alias = "tx")]
        request: u64,
        /// The sidecar that forwards it.
        sidecar: u32,
        /// The server it goes to.
        server: u32,
        /// Whether sidecar and server are in different zones.
        #[serde(alias = "crossing")]
        cross_zone: bool,
    },
    /// A server has an attempt's last byte.
    #[serde(alias = "arrived")]
    AttemptReceived {
        /// The request it is an attempt of.
        #[serde(alias = "tx")]
        request: u64,
        /// The server that received it.
        server: u32,
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
        request: u64,
        /// The server that rejected it.
        server: u32,
    },
    /// The server executed the attempt.
    #[serde(alias = "ran")]
    WorkDone {
        /// The request it is an attempt of.
        #[serde(alias = "tx")]
        request: u64,
        /// The server that executed it.
        server: u32,
        /// The work that was done.
        work: f64,
    },
    /// The client has the final response to a request.
    #[serde(alias = "answered")]
    ResponseReceived {
        /// Number of the request.
        #[serde(alias = "tx")]
        request: u64,
        /// What the response says.
        #[serde(alias = "how")]
        outcome: RequestOutcome,
    },
    /// The client disconnected before the final response.
    #[serde(alias = "left")]
    ClientDisconnected {
        /// Number of the request.
        #[serde(alias = "tx")]
        request: u64,
    },
    /// The arrival has come to its end.
    #[serde(alias = "closed")]
    ArrivalEnded {
        /// Number of the arrival.
        #[serde(alias = "ask")]
        arrival: u64,
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
        sidecar: u32,
        /// The server it was notified of.
        server: u32,
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
        sidecar: u32,
        /// Its new state.
        #[serde(alias = "life")]
        state: ProcessState,
    },
    /// A server changed its state.
    #[serde(alias = "server")]
    ServerStateChanged {
        /// The server.
        server: u32,
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
        sidecar: u32,
        /// The server that is checked.
        server: u32,
    },
    /// A new connection has cost a server its handshake.
    #[serde(alias = "opened")]
    ConnectionOpened {
        /// The server.
        server: u32,
    },
    /// A sidecar polled discovery.
    #[serde(alias = "called")]
    DiscoveryPolled {
        /// The sidecar.
        sidecar: u32,
    },
    /// What a server has in flight, once a second.
    #[serde(alias = "gauge")]
    ServerGauge {
        /// The server.
        server: u32,
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
