//! Section of the discovery service. Each engine implements the service in its module `discovery`.

use serde::{Deserialize, Serialize};

/// The discovery service, whose endpoint list sidecars watch and poll.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Time from a drain, crash or planned stop of a server until the list shows it, in
    /// milliseconds.
    pub notice_ms: f64,
    /// Time from when a machine falls silent until it is listed as gone, in milliseconds.
    pub silent_notice_ms: f64,
    /// Time from a server's start until it is listed as ready, in milliseconds.
    pub add_ms: f64,
    /// Maximum time from a change of the list until a watch reports it, in milliseconds.
    pub spread_ms: f64,
    /// Polls served per second, one at a time; above zero.
    pub capacity: f64,
    /// Maximum time in the queue before a poll fails, in milliseconds; above zero.
    pub timeout_ms: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            notice_ms: 1_500.0,
            silent_notice_ms: 9_000.0,
            add_ms: 1_200.0,
            spread_ms: 300.0,
            capacity: 4.0,
            timeout_ms: 3_000.0,
        }
    }
}
