//! Experiments: a scenario with axes, simulated over many seeds on all cores, as a table and a
//! plot.
//!
//! Owns the form of a plan, its runs and their means; a single run is the simulator's, its figures
//! the report's.

mod plan;
mod results;
mod runner;

#[cfg(test)]
mod tests;

pub use plan::{Axis, Plan};
pub use results::{Cell, Results, mean};
pub use runner::{ExperimentError, ProgressDisplay};
