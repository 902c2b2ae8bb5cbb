//! Figures of a report by second, class, tenant and server.
//!
//! Defines their stored form; `statistics` computes them.

use serde::{Deserialize, Serialize};

use crate::event_log::RequestOutcome;
use crate::index::ClassIndex;

/// Arrivals of one second. Each class has a row of counts:
/// `[arrived, served in time, served late, rejected, failed]`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondFigures(pub Vec<[u32; 5]>);

impl SecondFigures {
    /// Creates rows of zeros for `classes` classes.
    pub fn new(classes: usize) -> Self {
        Self(vec![[0; 5]; classes])
    }

    /// Counts an arrival that ended. Arrivals of an unknown class are ignored.
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
    /// Number of arrivals by outcome.
    pub ended: Vec<(RequestOutcome, u64)>,
    /// Latency of the served arrivals, in milliseconds: the quantiles 50, 90, 99, 99.9 and 100 %.
    pub latency_ms: [f64; 5],
}

/// Figures of one tenant; arrivals beyond its quota do not count.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantFigures {
    /// Name of the tenant.
    pub name: String,
    /// Value served in time as a share of the value that arrived; absent without arrivals.
    pub service: Option<f64>,
}

/// Figures of one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerFigures {
    /// Attempts that sidecars started to it.
    #[serde(alias = "routed")]
    pub attempts: u64,
    /// Attempts that it received completely.
    #[serde(alias = "arrived")]
    pub received: u64,
    /// Attempts that it rejected without executing them.
    #[serde(alias = "turned_away")]
    pub rejected: u64,
    /// Health checks that reached it.
    #[serde(alias = "probes")]
    pub health_checks: u64,
    /// Handshakes of new connections to it.
    pub handshakes: u64,
    /// Work that it did, in seconds of a standard core.
    pub work_s: f64,
    /// Whether it shut down because it was overloaded while cold.
    #[serde(alias = "fell")]
    pub overloaded_cold: bool,
    /// Number of samples of its gauges, one per second while it is up.
    pub gauges: u64,
    /// Sum of the attempts in flight over all samples.
    #[serde(alias = "held_sum")]
    pub in_flight_sum: u64,
    /// Highest number of attempts in flight of any sample.
    #[serde(alias = "held_most")]
    pub in_flight_max: u32,
    /// Sum of the open connections over all samples.
    pub connections_sum: u64,
    /// Highest number of open connections of any sample.
    #[serde(alias = "connections_most")]
    pub connections_max: u32,
}
