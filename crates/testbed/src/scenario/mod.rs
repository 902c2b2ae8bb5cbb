//! Scenario files: the fleet, the traffic, the fault schedule and the expectations.
//!
//! Defines the sections with their keys and defaults, reads them (`read`), validates them (`check`)
//! and derives fleet, capacity and rates from them, without any random draws. `docs/scenario.md`
//! describes every key with its unit, its default and the meaning of its absence.

mod capacity;
mod check;
mod discovery;
mod error;
mod expectations;
mod faults;
mod fleet;
mod key_path;
mod rates;
mod read;
mod renamed_keys;
mod rules;
mod set_key;
mod source_lines;
mod time;
mod traffic;

use serde::{Deserialize, Serialize};

pub use discovery::Discovery;
pub use error::{ScenarioError, ScenarioErrors};
pub use expectations::Expectations;
pub use faults::{Fault, FaultKind};
pub use fleet::{CancellationScope, Contention, MachineType, Network, ServerGroup, Sidecars};
pub use read::ScenarioFile;
pub use rules::{LoadReportSource, LoadReports, Permissions, Prices, Rules};
pub use time::{Micros, from_ms, from_s};
pub use traffic::{
    Class, Clients, DeduplicationScope, Idempotency, Load, LoadShape, Tenant, WorkDistribution,
};

/// A whole scenario. [`Scenario::check`] validates it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// Time during which requests arrive, in seconds; above zero. Requests open at its end are
    /// still completed.
    pub seconds: f64,
    /// Seed of all random streams.
    pub seed: u64,
    /// Zones and delays.
    pub network: Network,
    /// Machine types, in the order of the file.
    pub machine_type: Vec<MachineType>,
    /// Groups of servers; servers are numbered across the groups in order.
    pub servers: Vec<ServerGroup>,
    /// The sidecars.
    pub sidecars: Sidecars,
    /// Request classes; at least one.
    pub class: Vec<Class>,
    /// Tenants; empty for a service without tenants.
    pub tenant: Vec<Tenant>,
    /// The rate of arrivals.
    pub load: Load,
    /// How clients handle slow and failed requests.
    pub clients: Clients,
    /// The discovery service.
    pub discovery: Discovery,
    /// What sidecars may do.
    pub permissions: Permissions,
    /// How servers report their load.
    pub load_reports: LoadReports,
    /// Limits of the rules that the auditor checks.
    pub rules: Rules,
    /// Deductions from the service for waste and other costs.
    pub prices: Prices,
    /// The fault schedule.
    pub fault: Vec<Fault>,
    /// The expected results, in addition to the rules.
    pub expect: Expectations,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "day".into(),
            seconds: 60.0,
            seed: 1,
            network: Network::default(),
            machine_type: Vec::new(),
            servers: Vec::new(),
            sidecars: Sidecars::default(),
            class: Vec::new(),
            tenant: Vec::new(),
            load: Load::default(),
            clients: Clients::default(),
            discovery: Discovery::default(),
            permissions: Permissions::default(),
            load_reports: LoadReports::default(),
            rules: Rules::default(),
            prices: Prices::default(),
            fault: Vec::new(),
            expect: Expectations::default(),
        }
    }
}
