//! Section on what goes wrong, and when.

use super::section::{choice, section};
use super::time::{Micros, from_s};

choice! {
    /// What goes wrong.
    FaultKind {
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
        /// A share of the connections is reset amid a request.
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
}

section! {
    /// One fault of the schedule.
    Fault {
        /// What goes wrong.
        kind: FaultKind = FaultKind::Pause,
        /// When it starts, in seconds from the start of the run.
        at_s: f64 = 0.0,
        /// How long it lasts, in seconds.
        for_s: f64 = 10.0,
        /// Servers by name (`s0`, `s1` ...).
        servers: Vec<String> = Vec::new(),
        /// Else this share of them, drawn.
        target_share: f64 = 0.0,
        /// Only those of this zone.
        zone: Option<String> = None,
        /// How many times slower, more expensive or more frequent.
        factor: f64 = 4.0,
        /// Share of requests, responses or connections concerned.
        share: f64 = 1.0,
        /// Class concerned; all where it is absent.
        class: Option<String> = None,
        /// Part of the sidecars that goes down at a time.
        batch: f64 = 0.25,
        /// How long a sidecar is down, in seconds.
        down_s: f64 = 1.0,
        /// Whether sidecars are killed outright; else they are ended with SIGTERM.
        kill: bool = true,
    }
}

impl Fault {
    /// True for what happens to servers rather than to sidecars, classes or discovery.
    pub fn aims_at_servers(&self) -> bool {
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
    pub fn is_on(&self, at: Micros) -> bool {
        let from = from_s(self.at_s);
        (from..from + from_s(self.for_s)).contains(&at)
    }
}
