//! Section on what goes wrong, and when.
//!
//! Owns the kinds of faults, their keys and defaults, and when one is on. Whom a fault hits is
//! drawn in `simulator::faults`, and what it does there is each engine's.

use serde::{Deserialize, Serialize};

use super::time::{Micros, from_s};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process stands still; its machine and connections stay.
    Pause,
    /// The machine vanishes without a reset, and comes back cold.
    Silence,
    /// A server is slower by `factor`.
    Slow,
    /// The process ends with resets, and comes back cold.
    Crash,
    /// The server drains and then ends; it is back, cold, where `for_s` ends within the run.
    Drain,
    /// A new machine with a new name takes the place of one that drains.
    Replace,
    /// The load is `factor` times the usual one.
    Burst,
    /// A share of one class needs `factor` times its work.
    #[serde(rename = "costly")]
    ExpensiveRequests,
    /// A share of the responses is malformed.
    #[serde(rename = "spoilt")]
    MalformedResponses,
    /// The connections of a share of the requests are reset.
    #[serde(rename = "resets")]
    ConnectionResets,
    /// A share of the requests fails.
    #[serde(rename = "errors")]
    ErrorResponses,
    /// Part of the sidecars is restarted one batch after the other.
    #[serde(rename = "roll")]
    RollingRestart,
    /// All sidecars are restarted together.
    RestartAll,
    /// Discovery ends its watches and refuses polls.
    DiscoveryDown,
    /// Discovery says nothing more and keeps its connections open.
    DiscoverySilent,
}

/// One fault of the schedule.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it starts, in seconds from the start of the run.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// Servers by name (`s0`, `s1` ...).
    pub servers: Vec<String>,
    /// Where none are named, this share of them, drawn; for restarts in turn, of the sidecars. All
    /// of them where it is 0.
    pub target_share: f64,
    /// Zone from which servers are drawn; all zones where it is absent.
    pub zone: Option<String>,
    /// How many times slower, more expensive or more frequent; above zero.
    pub factor: f64,
    /// Share of requests, responses or connections concerned.
    pub share: f64,
    /// Class concerned; all where it is absent.
    pub class: Option<String>,
    /// Share of all sidecars that goes down at a time in restarts in turn.
    pub batch: f64,
    /// How long a sidecar is down, in seconds.
    pub down_s: f64,
    /// Whether sidecars are killed outright; else they are ended with SIGTERM.
    pub kill: bool,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            kind: FaultKind::Pause,
            at_s: 0.0,
            for_s: 10.0,
            servers: Vec::new(),
            target_share: 0.0,
            zone: None,
            factor: 4.0,
            share: 1.0,
            class: None,
            batch: 0.25,
            down_s: 1.0,
            kill: true,
        }
    }
}

impl Fault {
    /// True for what happens to servers rather than to sidecars, classes or discovery.
    pub fn targets_servers(&self) -> bool {
        !matches!(
            self.kind,
            FaultKind::Burst
                | FaultKind::ExpensiveRequests
                | FaultKind::RollingRestart
                | FaultKind::RestartAll
                | FaultKind::DiscoveryDown
                | FaultKind::DiscoverySilent
        )
    }

    /// True while it lasts.
    pub fn is_active(&self, at: Micros) -> bool {
        let from = from_s(self.at_s);
        (from..from + from_s(self.for_s)).contains(&at)
    }
}
