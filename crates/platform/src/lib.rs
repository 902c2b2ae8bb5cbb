//! The platform's formats: the settings of a deployment, the endpoint list of discovery and the
//! load reports of servers. Each format is read and written here and nowhere else, for the sidecar,
//! the simulator's adapter and the testbed alike: reading what was written gives the same value.
//!
//! Owns the names of the keys, the defaults of missing ones and the messages on bad ones. No I/O:
//! callers pass text or parsed JSON and get JSON or text. What a host does in spite of its settings
//! is the host's own matter.

pub mod endpoint_list;
mod error;
pub mod json;
mod keys;
pub mod load_report;
mod number;
pub mod settings;
mod units;

pub use endpoint_list::{EndpointList, ListKind, ListedEndpoint};
pub use error::{JsonError, KeyError, KeyProblem, ReadError};
pub use load_report::{LoadReportLayout, ServerLoad};
pub use settings::{
    MembershipMode, PlatformSettings, SettingsDocument, SimulatorFeatures, TransportSettings,
};
pub use units::{duration_from_ms, micros_from_ms};
