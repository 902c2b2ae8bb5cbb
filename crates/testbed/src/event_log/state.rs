//! The outcomes and states in events.
//!
//! The names of earlier versions are accepted as aliases, so that stored logs stay readable.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How a request, or an arrival with all its requests, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// A server's successful response to this request.
    Served,
    /// An overload rejection: the request was not executed, so a retry is safe.
    #[serde(alias = "refused")]
    Rejected,
    /// An error response; the request may have been executed.
    Failed,
    /// A response that no server sent for this request.
    #[serde(alias = "wrong")]
    Mismatched,
    /// No response before the client timed out.
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
    /// Not sent: the scenario's limit on open requests was reached.
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
    /// Accepts new requests.
    Ready,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
    /// Removed from the list.
    Gone,
}

/// The state of a sidecar's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    /// Started.
    Up,
    /// Told to shut down; it must still respond to the requests that it has accepted.
    #[serde(rename = "ending")]
    ShuttingDown,
    /// Exited by itself after it was told to shut down.
    #[serde(rename = "ended")]
    Exited,
    /// Killed without notice.
    Killed,
}

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Runs normally.
    Up,
    /// Started recently and is still warming up.
    Cold,
    /// Its process is paused, as by a long garbage collection.
    Paused,
    /// Its machine is unreachable: connections neither open nor close.
    Silent,
    /// Serves more slowly than normal.
    Slow,
    /// Rejects new requests.
    Draining,
    /// Its process has ended: connections are refused.
    Down,
    /// Was overloaded while cold and has shut down.
    #[serde(rename = "fallen")]
    OverloadShutdown,
}
