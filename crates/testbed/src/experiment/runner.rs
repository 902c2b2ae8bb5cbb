//! Plays an experiment's grid on all cores.
//!
//! Owns the order of runs and the progress shown. Reports come back in the order of the grid,
//! whatever core played them first.

use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;

use super::plan::Plan;
use super::results::{Cell, Results};
use crate::conversion::u64_from_count;
use crate::report::Report;
use crate::scenario::{ScenarioErrors, ScenarioFile};
use crate::simulator;

/// Form of the progress bar: runs played, runs in all, and the time that is left.
const PROGRESS: &str = "{bar:40} {pos}/{len} {eta}";

/// Why an experiment could not be played to its end.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The scenario does not take a cell's values.
    #[error(transparent)]
    Scenario(#[from] ScenarioErrors),
    /// The simulator does not take a cell's scenario.
    #[error("{reason}")]
    Simulator {
        /// What it says.
        reason: String,
    },
}

/// Whether an experiment shows on standard error how far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressDisplay {
    /// As a bar.
    Bar,
    /// Not at all.
    Hidden,
}

/// One run: the index of its cell, and its seed.
type Run = (usize, u64);

impl Plan {
    /// Plays the grid on all cores.
    ///
    /// # Errors
    /// What the scenario or the decision module rejects.
    pub fn play(
        self,
        scenario: &ScenarioFile,
        display: ProgressDisplay,
    ) -> Result<Results, ExperimentError> {
        let grid = self.grid();
        let runs: Vec<Run> = (0..grid.len())
            .flat_map(|cell| (1..=self.seeds).map(move |seed| (cell, seed)))
            .collect();
        let progress = progress(runs.len(), display);
        let play = |&(cell, seed): &Run| {
            let report = self.play_one(scenario, &grid[cell], seed)?;
            progress.inc(1);
            Ok((cell, report))
        };
        let played: Result<Vec<(usize, Report)>, ExperimentError> =
            runs.par_iter().map(play).collect();
        progress.finish_and_clear();
        let mut cells: Vec<Cell> = grid.into_iter().map(Cell::new).collect();
        for (cell, report) in played? {
            cells[cell].reports.push(report);
        }
        Ok(Results { plan: self, cells })
    }

    fn play_one(
        &self,
        scenario: &ScenarioFile,
        values: &[toml::Value],
        seed: u64,
    ) -> Result<Report, ExperimentError> {
        let variant = self.variant(scenario, values, seed)?;
        let (report, _) =
            simulator::run(&variant.scenario, None).map_err(|e| ExperimentError::Simulator {
                reason: e.to_string(),
            })?;
        Ok(report)
    }
}

fn progress(runs: usize, display: ProgressDisplay) -> ProgressBar {
    if display == ProgressDisplay::Hidden {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(u64_from_count(runs));
    if let Ok(style) = ProgressStyle::with_template(PROGRESS) {
        bar.set_style(style);
    }
    bar
}
