//! Experiments: simulate a scenario over a grid of values and over many seeds, on all cores, and
//! show the means as a table and a plot.
//!
//! `plan` reads the file of an experiment, `runner` simulates its runs, and `results` computes the
//! means.

mod plan;
mod results;
mod runner;

#[cfg(test)]
mod tests;

pub use plan::{Axis, Plan};
pub use results::{GridCell, Results, mean_with_interval};
pub use runner::{ExperimentError, ProgressDisplay};
