//! The outcomes and states that events report.
//!
//! Names of earlier versions are accepted as aliases, so that stored logs stay readable.

use std::fmt;

use serde::{Deserialize, Serialize};

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
    #[serde(rename = "ending")]
    ShuttingDown,
    /// Exited by itself, after it was notified.
    #[serde(rename = "ended")]
    Exited,
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
    /// Was overloaded while cold, and has shut down.
    #[serde(rename = "fallen")]
    OverloadShutdown,
}
