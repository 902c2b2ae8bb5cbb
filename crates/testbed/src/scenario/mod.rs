//! What a scenario file says: the fleet, the traffic, the schedule of faults, and what must hold.
//!
//! Owns the sections with their keys and defaults, their reading (`read`) and the checks that one
//! key alone cannot show (`check`). Plays nothing. Every key is described, with unit and default,
//! in `docs/scenario.md`.

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
mod section;
mod set_key;
mod source_lines;
mod time;
mod traffic;

pub use discovery::Discovery;
pub use error::{ScenarioError, ScenarioErrors};
pub use expectations::Expect;
pub use faults::{Fault, FaultKind};
pub use fleet::{CancellationScope, Contention, MachineType, Network, Servers, Sidecars};
pub use read::ScenarioFile;
pub use rules::{LoadReportSource, LoadReports, Permissions, Prices, Rules};
pub use time::{Micros, from_ms, from_s};
pub use traffic::{
    Class, Clients, DeduplicationScope, Idempotency, Load, LoadShape, Tenant, WorkDistribution,
};

use section::section;

section! {
    /// A whole scenario. [`Scenario::check`] finds what contradicts itself.
    Scenario {
        /// Name in reports.
        name: String = "day".into(),
        /// Time in which requests arrive, in seconds; what is open at its end is played to its end.
        seconds: f64 = 60.0,
        /// Seed of all random streams.
        seed: u64 = 1,
        /// Zones and delays.
        network: Network = Network::default(),
        /// Types of machines that servers run on.
        machine_type: Vec<MachineType> = Vec::new(),
        /// Groups of servers.
        servers: Vec<Servers> = Vec::new(),
        /// The sidecars.
        sidecars: Sidecars = Sidecars::default(),
        /// Classes of requests.
        class: Vec<Class> = Vec::new(),
        /// Tenants; none where all requests count alike.
        tenant: Vec<Tenant> = Vec::new(),
        /// How much is asked for.
        load: Load = Load::default(),
        /// What clients do about slow and failed requests.
        clients: Clients = Clients::default(),
        /// The service that lists servers.
        discovery: Discovery = Discovery::default(),
        /// What sidecars may do.
        permissions: Permissions = Permissions::default(),
        /// How servers report their load.
        load_reports: LoadReports = LoadReports::default(),
        /// Figures of the rules.
        rules: Rules = Rules::default(),
        /// What is paid for waste and its like.
        prices: Prices = Prices::default(),
        /// What goes wrong, and when.
        fault: Vec<Fault> = Vec::new(),
        /// What must hold, besides the rules.
        expect: Expect = Expect::default(),
    }
}
