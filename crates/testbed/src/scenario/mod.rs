//! What a scenario file says: the fleet, the traffic, the schedule of faults, and what must hold.
//!
//! Owns the sections with their keys and defaults, their reading (`read`), the checks that types
//! cannot make (`check`), and what follows from the keys alone: fleet, capacity and rates. Plays
//! nothing and draws nothing at random. Every key is described in `docs/scenario.md`, with unit and
//! default, as is the meaning of absent keys.

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

/// A whole scenario. [`Scenario::check`] finds what contradicts itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// Time in which requests arrive, in seconds; above zero. What is open then is played to its
    /// end.
    pub seconds: f64,
    /// Seed of all random streams.
    pub seed: u64,
    /// Zones and delays.
    pub network: Network,
    /// Types of machines that servers run on, in the order of the file.
    pub machine_type: Vec<MachineType>,
    /// Groups of servers; servers are numbered in their order.
    pub servers: Vec<ServerGroup>,
    /// The sidecars.
    pub sidecars: Sidecars,
    /// Classes of requests; at least one.
    pub class: Vec<Class>,
    /// Tenants; none where all requests count alike.
    pub tenant: Vec<Tenant>,
    /// How much is asked for.
    pub load: Load,
    /// What clients do about slow and failed requests.
    pub clients: Clients,
    /// The service that lists servers.
    pub discovery: Discovery,
    /// What sidecars may do.
    pub permissions: Permissions,
    /// How servers report their load.
    pub load_reports: LoadReports,
    /// Figures of the rules that the auditor checks.
    pub rules: Rules,
    /// What waste and its like take from the service.
    pub prices: Prices,
    /// What goes wrong, and when.
    pub fault: Vec<Fault>,
    /// What must hold, besides the rules.
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
