//! Section on what must come of a run.
//!
//! Owns its keys. Reports compare them with what came of the run.

use serde::{Deserialize, Serialize};

/// What must hold, besides the rules, for exit code 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectations {
    /// Least service, weighed as in reports; a share.
    pub service: Option<f64>,
    /// Least share of the accepted requests that are served.
    pub served: Option<f64>,
    /// Longest time from the last restart of a sidecar until the service is at 0.95 of what it was
    /// before the first, in seconds.
    pub recovered_s: Option<f64>,
}
