//! Section on what must come of a run.

use super::section::section;

section! {
    /// What must hold, besides the rules, for exit code 0.
    Expect {
        /// Service as weighed, at least.
        service: Option<f64> = None,
        /// Served share of requests, at least.
        served: Option<f64> = None,
        /// Longest time from the last restart of sidecars to 0.95 of the service before, in
        /// seconds.
        recovered_s: Option<f64> = None,
    }
}
