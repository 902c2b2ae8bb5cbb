//! What responses, load reports and arrivals tell of the fleet and of each server.
//!
//! Each estimator owns its figures and is updated by what happened. Nothing here decides: decisions
//! are in `policy/`.

mod decaying_rate;
mod estimates;
pub(crate) mod failure_rate;
mod fleet;
pub(crate) mod fleet_error_rate;
pub(crate) mod latency;
pub(crate) mod latency_distribution;
pub(crate) mod load;
pub(crate) mod missed_objective;
pub(crate) mod saturation;
pub(crate) mod slow_start;
mod smoothing;
pub(crate) mod utilization;
pub(crate) mod workload;

pub(crate) use estimates::Estimates;
pub(crate) use fleet::Estimators;
