//! Section of the expected results of a run, which reports compare with the actual ones.

use serde::{Deserialize, Serialize};

/// Conditions for exit code 0, in addition to the rules. Absent ones are not checked.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectations {
    /// Minimum service, weighted as in reports; a share.
    pub service: Option<f64>,
    /// Minimum share of the accepted requests that are served.
    pub served: Option<f64>,
    /// Maximum time from the last restart of a sidecar until the service is back at 0.95 of its
    /// level before the first restart, in seconds.
    pub recovered_s: Option<f64>,
}
