//! Simulates the runs of an experiment on all cores and shows the progress.
//!
//! Reports are in the order of the grid, in whatever order the runs complete.

use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;

use super::plan::Plan;
use super::results::{GridCell, Results};
use crate::conversion::u64_from_count;
use crate::report::Report;
use crate::scenario::{ScenarioErrors, ScenarioFile};
use crate::simulator;

/// Template of the progress bar: completed runs, all runs, and the estimated time left.
const PROGRESS_TEMPLATE: &str = "{bar:40} {pos}/{len} {eta}";

/// Error of a run of an experiment.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The scenario is invalid with the values of a cell.
    #[error(transparent)]
    Scenario(#[from] ScenarioErrors),
    /// The simulator rejected the scenario of a cell.
    #[error("{reason}")]
    Simulator {
        /// The simulator's message.
        reason: String,
    },
}

/// Whether an experiment shows its progress on standard error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressDisplay {
    /// Shows a progress bar.
    Bar,
    /// Shows nothing.
    Hidden,
}

/// One run: the index of its cell, and its seed.
type Run = (usize, u64);

impl Plan {
    /// Simulates all cells and seeds on all cores.
    ///
    /// # Errors
    /// Returns an error if the scenario of a run is invalid or the simulator rejects it.
    pub fn run(
        self,
        scenario: &ScenarioFile,
        display: ProgressDisplay,
    ) -> Result<Results, ExperimentError> {
        let grid = self.grid();
        let runs: Vec<Run> = (0..grid.len())
            .flat_map(|cell| (1..=self.seeds).map(move |seed| (cell, seed)))
            .collect();
        let progress = progress_bar(runs.len(), display);
        let simulate = |&(cell, seed): &Run| {
            let report = self.run_one(scenario, &grid[cell], seed)?;
            progress.inc(1);
            Ok((cell, report))
        };
        let reports: Result<Vec<(usize, Report)>, ExperimentError> =
            runs.par_iter().map(simulate).collect();
        progress.finish_and_clear();
        let mut cells: Vec<GridCell> = grid.into_iter().map(GridCell::new).collect();
        for (cell, report) in reports? {
            cells[cell].reports.push(report);
        }
        Ok(Results { plan: self, cells })
    }

    fn run_one(
        &self,
        scenario: &ScenarioFile,
        values: &[toml::Value],
        seed: u64,
    ) -> Result<Report, ExperimentError> {
        let scenario = self.scenario_of_run(scenario, values, seed)?;
        let (report, _) =
            simulator::run(&scenario.scenario, None).map_err(|e| ExperimentError::Simulator {
                reason: e.to_string(),
            })?;
        Ok(report)
    }
}

fn progress_bar(runs: usize, display: ProgressDisplay) -> ProgressBar {
    if display == ProgressDisplay::Hidden {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(u64_from_count(runs));
    if let Ok(style) = ProgressStyle::with_template(PROGRESS_TEMPLATE) {
        bar.set_style(style);
    }
    bar
}
