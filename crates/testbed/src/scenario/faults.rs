//! Section of the fault schedule.
//!
//! The targets of a fault are drawn in `simulator::faults`; each engine implements its effect.

use serde::{Deserialize, Serialize};

use super::time::{Micros, from_s};

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The process is paused; its machine and connections stay up.
    Pause,
    /// The machine becomes unreachable without resetting connections, and comes back cold.
    Silence,
    /// The server is slower by `factor`.
    Slow,
    /// The process ends and resets its connections; it comes back cold.
    Crash,
    /// The server drains and then stops; it comes back cold if `for_s` ends within the run.
    Drain,
    /// The server drains, and a new machine with a new name replaces it.
    Replace,
    /// The load is multiplied by `factor`.
    Burst,
    /// A share of the requests of a class need `factor` times their work.
    #[serde(rename = "costly")]
    ExpensiveRequests,
    /// A share of the responses are malformed.
    #[serde(rename = "spoilt")]
    MalformedResponses,
    /// The connections of a share of the requests are reset.
    #[serde(rename = "resets")]
    ConnectionResets,
    /// A share of the requests fail.
    #[serde(rename = "errors")]
    ErrorResponses,
    /// Some or all sidecars are restarted batch by batch.
    #[serde(rename = "roll")]
    RollingRestart,
    /// All sidecars are restarted at the same time.
    RestartAll,
    /// Discovery closes its watches and refuses polls.
    DiscoveryDown,
    /// Discovery stops responding but keeps its connections open.
    DiscoverySilent,
}

/// One fault of the schedule.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start, in seconds from the start of the run.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Servers by name (`s0`, `s1` ...).
    pub servers: Vec<String>,
    /// Share of the servers, drawn at random, that a fault affects unless it names its servers. For
    /// a rolling restart, the share of the sidecars. 0 stands for all servers or sidecars.
    pub target_share: f64,
    /// Zone from which servers are drawn; all zones if absent.
    pub zone: Option<String>,
    /// Factor of the slowdown, of the work or of the load; above zero.
    pub factor: f64,
    /// Share of the requests, responses or connections that are affected.
    pub share: f64,
    /// Request class that is affected; all classes if absent.
    pub class: Option<String>,
    /// Share of all sidecars in one batch of a rolling restart.
    pub batch: f64,
    /// Time for which a restarted sidecar is down, in seconds.
    pub down_s: f64,
    /// Whether sidecars are killed without notice; otherwise they receive SIGTERM.
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
    /// Whether the fault affects servers rather than sidecars, classes or discovery.
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

    /// Whether the fault is active at a time.
    pub fn is_active(&self, at: Micros) -> bool {
        let from = from_s(self.at_s);
        (from..from + from_s(self.for_s)).contains(&at)
    }
}
