//! Section on the service that lists servers.
//!
//! Owns its keys and defaults. The service itself is played by each engine's `discovery`.

use serde::{Deserialize, Serialize};

/// The service that lists servers, and lets sidecars watch and poll the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Time from a drain, crash or planned end until the list has it, in milliseconds.
    pub notice_ms: f64,
    /// Time from when a machine falls silent until the list has it as gone, in milliseconds.
    pub silent_notice_ms: f64,
    /// Time from a server's start until the list has it as ready, in milliseconds.
    pub add_ms: f64,
    /// Longest time from a change of the list until a watch has it, in milliseconds.
    pub spread_ms: f64,
    /// Polls that it serves, one after the other, in polls a second; above zero.
    pub capacity: f64,
    /// Time that a poll may wait for its turn before it fails, in milliseconds; above zero.
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
