//! Section on what must come of a run.

use serde::{Deserialize, Serialize};

/// What must hold, besides the rules, for exit code 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expect {
    /// Service as weighed, at least.
    pub service: Option<f64>,
    /// Served share of requests, at least.
    pub served: Option<f64>,
    /// Longest time from the last restart of sidecars to 0.95 of the service before, in
    /// seconds.
    pub recovered_s: Option<f64>,
}
