//! The plan of an experiment: reads and checks its file, and expands the grid of its axes.
//!
//! Keys and values of the scenario are checked by `scenario`.

use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::conversion::u64_from_count;
use crate::report::{FIGURE_NAMES, current_figure_name};
use crate::scenario::{ScenarioError, ScenarioErrors, ScenarioFile};

/// Maximum number of runs of an experiment: a day of simulation on one core.
const MAX_RUNS: u64 = 100_000;

/// An axis of the grid: a key of the scenario and its values.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Axis {
    /// Key of the scenario, such as `sidecars.count` or `fault[0].factor`.
    pub key: String,
    /// Values of the key, in the order of the table.
    pub values: Vec<toml::Value>,
}

/// An experiment, as its file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Title of the plot.
    pub name: String,
    /// Path of the scenario, relative to the experiment's file.
    pub scenario: PathBuf,
    /// Figures of the table and the plot, from [`FIGURE_NAMES`]; names of earlier versions are
    /// accepted.
    pub figures: Vec<String>,
    /// Number of seeds per cell of the grid, counted from 1.
    pub seeds: u64,
    /// Axes of the grid. The first is the horizontal axis of the plot; each combination of values
    /// of the others has a line.
    pub axis: Vec<Axis>,
    /// Keys of the scenario that are overridden in all runs.
    #[serde(default)]
    pub set: toml::Table,
}

fn plan_error(
    file: &Path,
    key: &str,
    why: impl Into<String>,
    line: Option<usize>,
) -> ScenarioErrors {
    let error = ScenarioError {
        key: key.to_owned(),
        message: why.into(),
        line,
    };
    ScenarioErrors {
        file: file.display().to_string(),
        errors: vec![error],
    }
}

impl Plan {
    /// Reads and checks the file of an experiment and its scenario.
    ///
    /// # Errors
    /// Returns an error if the file or the scenario is invalid, or if the scenario is invalid in
    /// any cell of the grid.
    pub fn open(path: &Path) -> Result<(Self, ScenarioFile), ScenarioErrors> {
        let mut plan = Self::parse(path)?;
        plan.rename_figures(path)?;
        plan.check(path)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let scenario = ScenarioFile::open(&folder.join(&plan.scenario))?;
        // Checks every cell of the grid, so that no run starts before an invalid cell is found.
        for values in plan.grid() {
            plan.scenario_of_run(&scenario, &values, 1)?;
        }
        Ok((plan, scenario))
    }

    fn parse(path: &Path) -> Result<Self, ScenarioErrors> {
        let text =
            std::fs::read_to_string(path).map_err(|e| plan_error(path, "", e.to_string(), None))?;
        toml::from_str(&text).map_err(|e| {
            let line = |start: usize| text[..start].matches('\n').count() + 1;
            plan_error(path, "", e.message(), e.span().map(|span| line(span.start)))
        })
    }

    /// Replaces figure names of earlier versions by the current ones.
    fn rename_figures(&mut self, path: &Path) -> Result<(), ScenarioErrors> {
        for (index, figure) in self.figures.iter_mut().enumerate() {
            let Some(name) = current_figure_name(figure) else {
                let why = format!(
                    "{figure:?} is not a figure: expected one of {}",
                    FIGURE_NAMES.join(", ")
                );
                return Err(plan_error(path, &format!("figures[{index}]"), why, None));
            };
            name.clone_into(figure);
        }
        Ok(())
    }

    fn check(&self, path: &Path) -> Result<(), ScenarioErrors> {
        if self.seeds == 0 {
            return Err(plan_error(path, "seeds", "must be above zero", None));
        }
        if self.axis.is_empty() || self.axis.iter().any(|axis| axis.values.is_empty()) {
            let why = "expected at least one axis, each with at least one value";
            return Err(plan_error(path, "axis", why, None));
        }
        let cells: usize = self.axis.iter().map(|axis| axis.values.len()).product();
        let runs = u64_from_count(cells) * self.seeds;
        if runs > MAX_RUNS {
            let why =
                format!("{runs} runs exceed the limit of {MAX_RUNS}: use fewer values or seeds");
            return Err(plan_error(path, "axis", why, None));
        }
        Ok(())
    }

    /// Returns the values of the axes for each cell of the grid. The last axis varies fastest.
    pub(super) fn grid(&self) -> Vec<Vec<toml::Value>> {
        let mut grid: Vec<Vec<toml::Value>> = vec![Vec::new()];
        for axis in &self.axis {
            let extend = |row: &Vec<toml::Value>| {
                let row = row.clone();
                let append = move |value: &toml::Value| {
                    [row.as_slice(), std::slice::from_ref(value)].concat()
                };
                axis.values.iter().map(append)
            };
            grid = grid.iter().flat_map(extend).collect();
        }
        grid
    }

    /// Returns the scenario with the values of one cell and a seed.
    ///
    /// # Errors
    /// Returns an error if the scenario is invalid with them.
    pub(super) fn scenario_of_run(
        &self,
        scenario: &ScenarioFile,
        values: &[toml::Value],
        seed: u64,
    ) -> Result<ScenarioFile, ScenarioErrors> {
        let owned = |(key, value): (&String, &toml::Value)| (key.clone(), value.clone());
        let axes = self.axis.iter().map(|axis| &axis.key).zip(values);
        let seed = toml::Value::Integer(i64::try_from(seed).unwrap_or(i64::MAX));
        let seed = [("seed".to_owned(), seed)];
        let overrides: Vec<(String, toml::Value)> = self
            .set
            .iter()
            .map(owned)
            .chain(axes.map(owned))
            .chain(seed)
            .collect();
        scenario.with_keys_set(&overrides)
    }
}
