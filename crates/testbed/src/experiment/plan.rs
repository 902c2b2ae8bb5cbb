//! An experiment's plan: its file, its checks, and the grid that it spans.
//!
//! Owns the form of the file. Whether a scenario takes a value is decided by `scenario`.

use std::path::{Path, PathBuf};

use serde::Deserialize;

use crate::conversion::u64_from_count;
use crate::report::{FIGURE_NAMES, current_figure_name};
use crate::scenario::{ScenarioError, ScenarioErrors, ScenarioFile};

/// Runs that one experiment may ask for: a day of simulation on one core.
const MAX_RUNS: u64 = 100_000;

/// One key and the values it takes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Axis {
    /// A scenario's key, such as `sidecars.count` or `fault[0].factor`.
    pub key: String,
    /// Its values.
    pub values: Vec<toml::Value>,
}

/// An experiment as its file says it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Title of the plot.
    pub name: String,
    /// The scenario, relative to this file.
    pub scenario: PathBuf,
    /// Figures of the table and the plot, from [`FIGURE_NAMES`]; names of earlier versions are
    /// accepted.
    pub figures: Vec<String>,
    /// Seeds 1 to this.
    pub seeds: u64,
    /// The first is the plot's horizontal axis; the others give lines.
    pub axis: Vec<Axis>,
    /// Keys that are set alike in all runs.
    #[serde(default)]
    pub set: toml::Table,
}

fn error(file: &Path, key: &str, why: impl Into<String>, line: Option<usize>) -> ScenarioErrors {
    let error = ScenarioError {
        key: key.to_owned(),
        why: why.into(),
        line,
    };
    ScenarioErrors {
        file: file.display().to_string(),
        errors: vec![error],
    }
}

impl Plan {
    /// Reads and checks a file, and the scenario that it names.
    ///
    /// # Errors
    /// What is wrong with either.
    pub fn open(path: &Path) -> Result<(Self, ScenarioFile), ScenarioErrors> {
        let mut plan = Self::parse(path)?;
        plan.rename_figures(path)?;
        plan.check(path)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let scenario = ScenarioFile::open(&folder.join(&plan.scenario))?;
        // Every cell of the grid is checked before the first is played.
        for values in plan.grid() {
            plan.variant(&scenario, &values, 1)?;
        }
        Ok((plan, scenario))
    }

    fn parse(path: &Path) -> Result<Self, ScenarioErrors> {
        let text =
            std::fs::read_to_string(path).map_err(|e| error(path, "", e.to_string(), None))?;
        toml::from_str(&text).map_err(|e| {
            let line = |start: usize| text[..start].matches('\n').count() + 1;
            error(path, "", e.message(), e.span().map(|span| line(span.start)))
        })
    }

    /// Puts the present name in place of a figure's earlier one.
    fn rename_figures(&mut self, path: &Path) -> Result<(), ScenarioErrors> {
        for (index, figure) in self.figures.iter_mut().enumerate() {
            let Some(name) = current_figure_name(figure) else {
                let why = format!(
                    "{figure:?} is no figure; known are {}",
                    FIGURE_NAMES.join(", ")
                );
                return Err(error(path, &format!("figures[{index}]"), why, None));
            };
            name.clone_into(figure);
        }
        Ok(())
    }

    fn check(&self, path: &Path) -> Result<(), ScenarioErrors> {
        if self.seeds == 0 {
            return Err(error(path, "seeds", "must be above zero", None));
        }
        if self.axis.is_empty() || self.axis.iter().any(|axis| axis.values.is_empty()) {
            let why = "at least one with a value is needed";
            return Err(error(path, "axis", why, None));
        }
        let cells: usize = self.axis.iter().map(|axis| axis.values.len()).product();
        let runs = u64_from_count(cells) * self.seeds;
        if runs > MAX_RUNS {
            let why = format!("{runs} runs are more than {MAX_RUNS}");
            return Err(error(path, "axis", why, None));
        }
        Ok(())
    }

    /// The values of the axes in each cell, the last axis changing fastest.
    pub(super) fn grid(&self) -> Vec<Vec<toml::Value>> {
        let mut grid: Vec<Vec<toml::Value>> = vec![Vec::new()];
        for axis in &self.axis {
            let extended = |row: &Vec<toml::Value>| {
                let row = row.clone();
                let with = move |value: &toml::Value| {
                    [row.as_slice(), std::slice::from_ref(value)].concat()
                };
                axis.values.iter().map(with)
            };
            grid = grid.iter().flat_map(extended).collect();
        }
        grid
    }

    /// The scenario of one cell and seed.
    ///
    /// # Errors
    /// Where the scenario does not take a value.
    pub(super) fn variant(
        &self,
        scenario: &ScenarioFile,
        values: &[toml::Value],
        seed: u64,
    ) -> Result<ScenarioFile, ScenarioErrors> {
        let owned = |(key, value): (&String, &toml::Value)| (key.clone(), value.clone());
        let axes = self.axis.iter().map(|axis| &axis.key).zip(values);
        let seed = toml::Value::Integer(i64::try_from(seed).unwrap_or(i64::MAX));
        let seed = [("seed".to_owned(), seed)];
        let changes: Vec<(String, toml::Value)> = self
            .set
            .iter()
            .map(owned)
            .chain(axes.map(owned))
            .chain(seed)
            .collect();
        scenario.with(&changes)
    }
}
