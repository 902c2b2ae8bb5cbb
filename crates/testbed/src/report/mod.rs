//! The report of a run: its figures as data, as text, and in comparison with another run's.
//!
//! Defines the stored form and which runs pass. `statistics` computes the figures, `audit` finds
//! the violations. Keys of earlier versions are accepted as aliases, so that stored reports stay
//! readable.

mod compare;
mod figures;
mod parts;
mod text;

#[cfg(test)]
mod tests;

use serde::{Deserialize, Deserializer, Serialize};

use crate::audit::Auditor;
use crate::conversion::f64_from_u64;
use crate::event_log::RequestOutcome;
use crate::scenario::Expectations;

pub use compare::compare;
pub use figures::{FIGURE_NAMES, current_figure_name};
pub use parts::{ClassFigures, SecondFigures, ServerFigures, TenantFigures};

/// The simulator's name in a report.
pub const SIMULATOR: &str = "simulator";
/// The emulator's name in a report.
pub const EMULATOR: &str = "emulator";

/// Maps an engine's name in earlier versions to its current name; other names are returned as they
/// are.
pub fn current_engine_name(name: &str) -> &str {
    match name {
        "model" => SIMULATOR,
        "stage" => EMULATOR,
        other => other,
    }
}

fn read_engine_name<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    let name = String::deserialize(deserializer)?;
    Ok(current_engine_name(&name).to_owned())
}

/// Report of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// [`SIMULATOR`] or [`EMULATOR`].
    #[serde(deserialize_with = "read_engine_name")]
    pub engine: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Time in which requests arrived, in seconds.
    pub seconds: f64,
    /// Number of sidecars.
    pub sidecars: usize,
    /// Number of servers, including replacements.
    pub servers: usize,
    /// Value served in time as a share of the value that arrived: the weighted mean of `overall`,
    /// `worst_window`, `worst_class` and `worst_tenant`.
    pub service: f64,
    /// `service` minus the prices of the costs that the sidecars caused, such as cross-zone
    /// attempts, health checks and wasted work.
    pub service_after_prices: f64,
    /// Service of the whole run.
    #[serde(alias = "whole")]
    pub overall: f64,
    /// Service of the worst 10 s.
    #[serde(alias = "worst_stretch")]
    pub worst_window: f64,
    /// Service of the worst class.
    pub worst_class: f64,
    /// Service of the worst tenant, within its quota.
    #[serde(alias = "worst_shop")]
    pub worst_tenant: f64,
    /// Arrivals; one arrival is a first request and its retries.
    #[serde(alias = "asked")]
    pub arrivals: u64,
    /// Requests that clients sent, including retries.
    #[serde(alias = "tries")]
    pub requests: u64,
    /// Requests that a sidecar accepted.
    #[serde(alias = "transactions")]
    pub accepted: u64,
    /// Accepted requests by their outcome.
    #[serde(alias = "answered")]
    pub responses: Vec<(RequestOutcome, u64)>,
    /// Attempts that sidecars started.
    #[serde(alias = "routed")]
    pub attempts: u64,
    /// Attempts from one zone to another.
    #[serde(alias = "crossing")]
    pub cross_zone_attempts: u64,
    /// Health checks that reached a server.
    #[serde(alias = "probes")]
    pub health_checks: u64,
    /// Handshakes of new connections at servers.
    pub handshakes: u64,
    /// Polls of discovery.
    #[serde(alias = "list_calls")]
    pub discovery_polls: u64,
    /// Most polls of discovery in one second.
    #[serde(alias = "list_calls_peak")]
    pub discovery_polls_peak: u32,
    /// Share of the work done that led to no served response.
    #[serde(alias = "wasted")]
    pub wasted_work: f64,
    /// Latency of all classes; see [`ClassFigures::latency_ms`].
    pub latency_ms: [f64; 5],
    /// Seconds from the last restart of a sidecar until the service was back at 0.95 of its value
    /// before the first restart; absent without restarts or recovery.
    pub recovered_s: Option<f64>,
    /// Figures by class, in the order of the scenario.
    pub classes: Vec<ClassFigures>,
    /// Figures by tenant, in the order of the scenario.
    #[serde(alias = "shops")]
    pub tenants: Vec<TenantFigures>,
    /// Figures by second of the run.
    pub timeline: Vec<SecondFigures>,
    /// Figures by server, in the order of the server numbers.
    #[serde(alias = "fleet")]
    pub servers_by_number: Vec<ServerFigures>,
    /// The first violations, one line each.
    #[serde(alias = "broken")]
    pub violations: Vec<String>,
    /// Number of all violations, also of those that are not listed.
    #[serde(alias = "broken_count")]
    pub violation_count: u64,
    /// Expectations of the scenario that the run missed, one line each.
    #[serde(alias = "missed")]
    pub missed_expectations: Vec<String>,
    /// Differences between the sidecars' counters and the observations of clients and servers.
    #[serde(alias = "uncounted")]
    pub counter_differences: Vec<String>,
    /// Why the figures are unreliable, if the machine ran late.
    #[serde(alias = "late")]
    pub unreliable: Option<String>,
    /// Additional lines of the text report.
    pub remarks: Vec<String>,
}

impl Report {
    /// Adds the violations that the auditor found.
    pub fn add_audit(&mut self, auditor: &Auditor) {
        self.violations = auditor.violations().map(ToString::to_string).collect();
        self.violation_count = auditor.violation_count();
    }

    /// Returns the number of accepted requests with this outcome.
    pub fn outcome_count(&self, outcome: RequestOutcome) -> u64 {
        self.responses
            .iter()
            .find(|(listed, _)| *listed == outcome)
            .map_or(0, |(_, count)| *count)
    }

    /// Returns the share of the accepted requests that was served.
    pub fn served_share(&self) -> f64 {
        self.outcome_share(RequestOutcome::Served)
    }

    /// Returns the share of the accepted requests with this outcome.
    fn outcome_share(&self, outcome: RequestOutcome) -> f64 {
        f64_from_u64(self.outcome_count(outcome)) / f64_from_u64(self.accepted.max(1))
    }

    /// Compares the figures with the scenario's expectations and lists the missed ones.
    pub fn check_expectations(&mut self, expect: &Expectations) {
        let mut missed = Vec::new();
        let mut at_least = |name: &str, actual: f64, expected: Option<f64>| {
            if let Some(expected) = expected.filter(|expected| actual < *expected) {
                missed.push(format!("{name} is {actual:.3}, below {expected:.3}"));
            }
        };
        at_least("service", self.service, expect.service);
        at_least("served", self.served_share(), expect.served);
        if let Some(limit) = expect.recovered_s {
            match self.recovered_s {
                Some(recovered) if recovered <= limit => {}
                Some(recovered) => {
                    missed.push(format!("recovered_s is {recovered:.1}, above {limit:.1}"));
                }
                None => missed.push(format!(
                    "recovered_s: not recovered, {limit:.1} were expected"
                )),
            }
        }
        self.missed_expectations = missed;
    }

    /// Returns true for a run without violations, missed expectations, differing counters or
    /// unreliable figures.
    pub fn passes(&self) -> bool {
        self.violation_count == 0
            && self.missed_expectations.is_empty()
            && self.counter_differences.is_empty()
            && self.unreliable.is_none()
    }
}
