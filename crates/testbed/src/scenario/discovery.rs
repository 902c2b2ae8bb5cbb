//! Section on the service that lists servers.

use serde::{Deserialize, Serialize};

/// The service that lists servers, and lets sidecars watch the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// From a drain, crash or planned end to its place in the list, in milliseconds.
    pub notice_ms: f64,
    /// The same for a machine that falls silent, in milliseconds.
    pub silent_notice_ms: f64,
    /// From a start to its place in the list, in milliseconds.
    pub add_ms: f64,
    /// Until a change has reached a watch, in milliseconds at most.
    pub spread_ms: f64,
    /// Polls a second that it serves.
    pub capacity: f64,
    /// A poll that waits longer fails, in milliseconds.
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
