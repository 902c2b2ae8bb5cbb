//! The summary of a run: its figures as data, as text, and beside another run's.
//!
//! Owns the form of the report and what counts as a pass. The figures are gathered by `statistics`,
//! the violations by `audit`. Keys of earlier versions are accepted as aliases, so that stored
//! reports stay readable.

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
use crate::scenario::Expect;

pub use compare::compare;
pub use figures::{FIGURE_NAMES, current_figure_name};
pub use parts::{ClassFigures, SecondFigures, ServerFigures, TenantFigures};

/// The simulator's name in a report.
pub const SIMULATOR: &str = "simulator";
/// The emulator's name in a report.
pub const EMULATOR: &str = "emulator";

/// An engine's name, also where it is given by that of an earlier version.
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

/// A run, summed up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// [`SIMULATOR`] or [`EMULATOR`].
    #[serde(deserialize_with = "read_engine_name")]
    pub engine: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the run.
    pub seconds: f64,
    /// Number of sidecars.
    pub sidecars: usize,
    /// Number of servers, replacements among them.
    pub servers: usize,
    /// Value served in time as a share of the value that arrived: the weighted mean of the four
    /// figures below.
    pub service: f64,
    /// `service` less the prices of what the sidecars cost others.
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
    /// What clients wanted, each with its retries.
    #[serde(alias = "asked")]
    pub arrivals: u64,
    /// Requests of the clients, retries among them.
    #[serde(alias = "tries")]
    pub requests: u64,
    /// Requests that a sidecar accepted.
    #[serde(alias = "transactions")]
    pub accepted: u64,
    /// Accepted requests by their outcome.
    #[serde(alias = "answered")]
    pub responses: Vec<(RequestOutcome, u64)>,
    /// Attempts that sidecars began to forward.
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
    /// Share of the work done that served no response.
    #[serde(alias = "wasted")]
    pub wasted_work: f64,
    /// As that of a class.
    pub latency_ms: [f64; 5],
    /// From the last restart of a sidecar to 0.95 of the service before the first.
    pub recovered_s: Option<f64>,
    /// Figures by class, in the scenario's order.
    pub classes: Vec<ClassFigures>,
    /// Figures by tenant, in the scenario's order.
    #[serde(alias = "shops")]
    pub tenants: Vec<TenantFigures>,
    /// Arrivals second by second.
    pub timeline: Vec<SecondFigures>,
    /// Figures by server, at its number.
    #[serde(alias = "fleet")]
    pub servers_by_number: Vec<ServerFigures>,
    /// The first violations, as lines.
    #[serde(alias = "broken")]
    pub violations: Vec<String>,
    /// Number of all violations.
    #[serde(alias = "broken_count")]
    pub violation_count: u64,
    /// Expectations of the scenario that were missed.
    #[serde(alias = "missed")]
    pub missed_expectations: Vec<String>,
    /// Where the sidecars' counters differ from what clients and servers saw.
    #[serde(alias = "uncounted")]
    pub counter_differences: Vec<String>,
    /// Why the figures are unreliable, where the machine ran late.
    #[serde(alias = "late")]
    pub unreliable: Option<String>,
    /// Further lines for the reader.
    pub remarks: Vec<String>,
}

impl Report {
    /// Takes over what the auditor found.
    pub fn add_audit(&mut self, auditor: &Auditor) {
        self.violations = auditor.violations().map(ToString::to_string).collect();
        self.violation_count = auditor.violation_count();
    }

    /// Accepted requests with this outcome.
    pub fn outcome_count(&self, outcome: RequestOutcome) -> u64 {
        self.responses
            .iter()
            .find(|(listed, _)| *listed == outcome)
            .map_or(0, |(_, count)| *count)
    }

    /// Share of the accepted requests that was served.
    pub fn served_share(&self) -> f64 {
        self.outcome_share(RequestOutcome::Served)
    }

    /// Share of the accepted requests with this outcome.
    fn outcome_share(&self, outcome: RequestOutcome) -> f64 {
        f64_from_u64(self.outcome_count(outcome)) / f64_from_u64(self.accepted.max(1))
    }

    /// Compares the figures with the scenario's expectations, and lists those that are missed.
    pub fn check_expectations(&mut self, expect: &Expect) {
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
                Some(took) if took <= limit => {}
                Some(took) => missed.push(format!("recovered_s is {took:.1}, above {limit:.1}")),
                None => missed.push(format!(
                    "recovered_s: not recovered, {limit:.1} were expected"
                )),
            }
        }
        self.missed_expectations = missed;
    }

    /// True for a run that passes: no violations, no missed expectations, equal counters, reliable
    /// figures.
    pub fn passes(&self) -> bool {
        self.violation_count == 0
            && self.missed_expectations.is_empty()
            && self.counter_differences.is_empty()
            && self.unreliable.is_none()
    }
}
