//! The parts of a report: figures by second, class, tenant and server.
//!
//! Owns their stored form; `statistics` fills them in.

use serde::{Deserialize, Serialize};

use crate::event_log::RequestOutcome;
use crate::index::ClassIndex;

/// Arrivals of one second, by class: `[arrived, served in time, served late, rejected, failed]`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondFigures(pub Vec<[u32; 5]>);

impl SecondFigures {
    /// No arrivals in any of so many classes.
    pub fn new(classes: usize) -> Self {
        Self(vec![[0; 5]; classes])
    }

    /// Counts an arrival that ended; one of an unknown class is ignored.
    pub fn add(&mut self, class: ClassIndex, outcome: RequestOutcome, in_time: bool) {
        let Some(row) = self.0.get_mut(class.index()) else {
            return;
        };
        row[0] += 1;
        let column = match outcome {
            RequestOutcome::Served if in_time => 1,
            RequestOutcome::Served => 2,
            RequestOutcome::Rejected | RequestOutcome::Unreachable | RequestOutcome::NotPlayed => 3,
            _ => 4,
        };
        row[column] += 1;
    }
}

/// Figures of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Name of the class.
    pub name: String,
    /// Value served in time as a share of the value that arrived; absent without arrivals.
    pub service: Option<f64>,
    /// Arrivals by their outcome.
    pub ended: Vec<(RequestOutcome, u64)>,
    /// 50, 90, 99, 99.9 and 100 % of what was served, in milliseconds from the arrival.
    pub latency_ms: [f64; 5],
}

/// Figures of one tenant, within its quota.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantFigures {
    /// Name of the tenant.
    pub name: String,
    /// As that of a class.
    pub service: Option<f64>,
}

/// Figures of one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerFigures {
    /// Attempts that sidecars began to forward to it.
    #[serde(alias = "routed")]
    pub attempts: u64,
    /// Attempts that reached it whole.
    #[serde(alias = "arrived")]
    pub received: u64,
    /// Attempts that it rejected without executing them.
    #[serde(alias = "turned_away")]
    pub rejected: u64,
    /// Health checks that reached it.
    #[serde(alias = "probes")]
    pub health_checks: u64,
    /// Handshakes of new connections.
    pub handshakes: u64,
    /// Work done, in seconds of a standard core.
    pub work_s: f64,
    /// Whether it was overloaded while cold.
    #[serde(alias = "fell")]
    pub overloaded_cold: bool,
    /// Number of gauges, one a second while it is up.
    pub gauges: u64,
    /// Sum over the gauges of the attempts in flight.
    #[serde(alias = "held_sum")]
    pub in_flight_sum: u64,
    /// Most attempts in flight at any gauge.
    #[serde(alias = "held_most")]
    pub in_flight_max: u32,
    /// Sum over the gauges of the open connections.
    pub connections_sum: u64,
    /// Most open connections at any gauge.
    #[serde(alias = "connections_most")]
    pub connections_max: u32,
}
