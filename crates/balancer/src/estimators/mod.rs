//! Estimates of the fleet and of each server, from responses, load reports and arrivals.
//!
//! Each estimator owns its state and is updated by events. Decisions are in `policy/`.

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
