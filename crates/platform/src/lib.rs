//! Readers and writers of the platform's formats: the settings of a deployment, the endpoint list
//! from discovery and the load reports of servers. The sidecar, the simulator's adapter and the
//! testbed share them, so each format has a single implementation. Reading a written value returns
//! the same value.
//!
//! This crate defines the names of the keys, the defaults of missing keys and the error messages
//! for invalid values. It does no I/O: callers pass text or parsed JSON and receive JSON or text.
//! Where a host deviates from its settings, the host implements that itself.

pub mod endpoint_list;
mod error;
pub mod json;
mod keys;
pub mod load_report;
mod number;
pub mod settings;
mod units;

pub use endpoint_list::{
    EndpointList, EndpointListParser, EndpointListReader, ListKind, ListedEndpoint, SkippedEntries,
};
pub use error::{JsonError, KeyError, KeyProblem, ReadError};
pub use load_report::{LoadReportLayout, ServerLoad};
pub use settings::{
    MembershipMode, PlatformSettings, SettingsDocument, SimulatorFeatures, TransportSettings,
};
pub use units::{duration_from_ms, micros_from_ms};
