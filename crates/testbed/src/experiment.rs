//! Experiments: a scenario with axes, played over many seeds on all cores, as a table and a plot.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::Deserialize;
use statrs::distribution::{ContinuousCDF as _, StudentsT};

use crate::plot::{self, Series};
use crate::report::{FIGURES, Report};
use crate::scenario::{ScenarioError, ScenarioErrors, ScenarioFile};
use crate::simulator;

/// Runs that one experiment may ask for.
const RUNS_MOST: usize = 100_000;

/// One key and the values it takes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Axis {
    /// A scenario's key, such as `sidecars.count` or `trouble[0].times`.
    pub key: String,
    pub values: Vec<toml::Value>,
}

/// An experiment as its file says it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// The scenario, relative to this file.
    pub scenario: PathBuf,
    /// Figures to tell; see [`FIGURES`].
    pub figures: Vec<String>,
    /// Seeds 1 to this.
    pub seeds: u64,
    /// The first is plotted along; further ones give lines.
    pub axis: Vec<Axis>,
    /// Keys set alike in all runs.
    #[serde(default)]
    pub set: toml::Table,
}

/// One place of the grid.
pub struct Cell {
    /// Values of the axes, in their order.
    pub values: Vec<toml::Value>,
    /// One report a seed.
    pub reports: Vec<Report>,
}

/// An experiment that was played.
pub struct Played {
    pub plan: Plan,
    pub cells: Vec<Cell>,
}

/// Mean and half the width of its 95 % confidence interval; no width for a single value.
pub fn mean(values: &[f64]) -> Option<(f64, f64)> {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    if values.is_empty() || !mean.is_finite() {
        return None;
    }
    let var = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    let factor = StudentsT::new(0.0, 1.0, n - 1.0).map_or(0.0, |t| t.inverse_cdf(0.975));
    Some((mean, factor * (var / n).sqrt()))
}

fn fault(file: &Path, key: &str, why: impl Into<String>) -> ScenarioErrors {
    let fault = ScenarioError {
        key: key.to_owned(),
        why: why.into(),
        line: None,
    };
    ScenarioErrors {
        file: file.display().to_string(),
        faults: vec![fault],
    }
}

impl Plan {
    /// Reads and checks a file, and the scenario that it names.
    ///
    /// # Errors
    /// What is wrong with either.
    pub fn open(path: &Path) -> Result<(Self, ScenarioFile), ScenarioErrors> {
        let text = std::fs::read_to_string(path).map_err(|e| fault(path, "", e.to_string()))?;
        let plan: Self = toml::from_str(&text).map_err(|e| {
            let line = e.span().map(|s| text[..s.start].matches('\n').count() + 1);
            let fault = ScenarioError {
                key: String::new(),
                why: e.message().to_owned(),
                line,
            };
            ScenarioErrors {
                file: path.display().to_string(),
                faults: vec![fault],
            }
        })?;
        for (i, figure) in plan.figures.iter().enumerate() {
            if !FIGURES.contains(&figure.as_str()) {
                let why = format!("{figure:?} is no figure; known are {}", FIGURES.join(", "));
                return Err(fault(path, &format!("figures[{i}]"), why));
            }
        }
        if plan.seeds == 0 {
            return Err(fault(path, "seeds", "must be above zero"));
        }
        if plan.axis.is_empty() || plan.axis.iter().any(|a| a.values.is_empty()) {
            return Err(fault(path, "axis", "at least one with a value is needed"));
        }
        let runs = plan.axis.iter().map(|a| a.values.len()).product::<usize>() as u64 * plan.seeds;
        if runs > RUNS_MOST as u64 {
            return Err(fault(
                path,
                "axis",
                format!("{runs} runs are more than {RUNS_MOST}"),
            ));
        }
        let scenario =
            ScenarioFile::open(&path.parent().unwrap_or(Path::new(".")).join(&plan.scenario))?;
        // Every place of the grid is checked before the first is played.
        for values in plan.grid() {
            plan.variant(&scenario, &values, 1)?;
        }
        Ok((plan, scenario))
    }

    fn grid(&self) -> Vec<Vec<toml::Value>> {
        let mut grid: Vec<Vec<toml::Value>> = vec![Vec::new()];
        for axis in &self.axis {
            let longer = |row: &Vec<toml::Value>| {
                let row = row.clone();
                axis.values
                    .iter()
                    .map(move |v| row.iter().cloned().chain([v.clone()]).collect())
            };
            grid = grid.iter().flat_map(longer).collect();
        }
        grid
    }

    fn variant(
        &self,
        scenario: &ScenarioFile,
        values: &[toml::Value],
        seed: u64,
    ) -> Result<ScenarioFile, ScenarioErrors> {
        let set = self
            .set
            .iter()
            .map(|(key, value)| (key.clone(), value.clone()));
        let axes = self
            .axis
            .iter()
            .zip(values)
            .map(|(axis, value)| (axis.key.clone(), value.clone()));
        let seed = [("seed".to_owned(), toml::Value::Integer(seed as i64))];
        scenario.with(&set.chain(axes).chain(seed).collect::<Vec<_>>())
    }

    /// Plays the grid on all cores.
    ///
    /// # Errors
    /// What the scenario or the decision module refuses.
    pub fn play(self, scenario: &ScenarioFile, quiet: bool) -> Result<Played, String> {
        let grid = self.grid();
        let runs: Vec<(usize, u64)> = (0..grid.len())
            .flat_map(|cell| (1..=self.seeds).map(move |seed| (cell, seed)))
            .collect();
        let bar = if quiet {
            ProgressBar::hidden()
        } else {
            ProgressBar::new(runs.len() as u64)
        };
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} {eta}") {
            bar.set_style(style);
        }
        let play = |&(cell, seed): &(usize, u64)| -> Result<(usize, Report), String> {
            let variant = self
                .variant(scenario, &grid[cell], seed)
                .map_err(|e| e.to_string())?;
            let (report, _) = simulator::run(&variant.day, None)?;
            bar.inc(1);
            Ok((cell, report))
        };
        let reports: Result<Vec<_>, String> = runs.par_iter().map(play).collect();
        bar.finish_and_clear();
        let mut cells: Vec<Cell> = grid
            .into_iter()
            .map(|values| Cell {
                values,
                reports: Vec::new(),
            })
            .collect();
        for (cell, report) in reports? {
            cells[cell].reports.push(report);
        }
        Ok(Played { plan: self, cells })
    }
}

fn text(value: &toml::Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

impl Played {
    fn figure(&self, cell: &Cell, figure: &str) -> Option<(f64, f64)> {
        let values: Vec<f64> = cell
            .reports
            .iter()
            .filter_map(|r| r.figure(figure))
            .collect();
        mean(&values)
    }

    /// One row a place of the grid: its values, then mean and half the interval of each figure.
    pub fn csv(&self) -> String {
        let mut out = String::new();
        let axes = self.plan.axis.iter().map(|a| a.key.clone());
        let figures = self
            .plan
            .figures
            .iter()
            .flat_map(|f| [f.clone(), format!("{f} +-")]);
        let _ = writeln!(
            out,
            "{},broken",
            axes.chain(figures).collect::<Vec<_>>().join(",")
        );
        for cell in &self.cells {
            let values = cell.values.iter().map(text);
            let figures = self
                .plan
                .figures
                .iter()
                .flat_map(|name| match self.figure(cell, name) {
                    Some((mean, half)) => [format!("{mean:.6}"), format!("{half:.6}")],
                    None => [String::new(), String::new()],
                });
            let row: Vec<String> = values.chain(figures).collect();
            let _ = writeln!(out, "{},{}", row.join(","), self.broken(cell));
        }
        out
    }

    fn broken(&self, cell: &Cell) -> u64 {
        cell.reports.iter().map(|r| r.violation_count).sum()
    }

    /// Broken rules over all runs.
    pub fn all_broken(&self) -> u64 {
        self.cells.iter().map(|cell| self.broken(cell)).sum()
    }

    /// Draws each figure along the first axis, a line for each place of the others.
    ///
    /// # Errors
    /// Where the file cannot be written.
    pub fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let place = |cell: &Cell, number: usize| {
            let value = &cell.values[0];
            value
                .as_float()
                .or(value.as_integer().map(|n| n as f64))
                .unwrap_or(number as f64)
        };
        let mut names: Vec<String> = Vec::new();
        let name = |cell: &Cell| {
            let others = self.plan.axis.iter().zip(&cell.values).skip(1);
            others
                .map(|(axis, value)| format!("{} {}", axis.key, text(value)))
                .collect::<Vec<_>>()
                .join(", ")
        };
        for cell in &self.cells {
            let name = name(cell);
            if !names.contains(&name) {
                names.push(name);
            }
        }
        let line = |figure: &str, line: &String| {
            let cells = self.cells.iter().filter(|c| name(c) == *line).enumerate();
            let points = cells.filter_map(|(number, cell)| {
                self.figure(cell, figure)
                    .map(|(mean, half)| (place(cell, number), mean, half))
            });
            Series {
                name: line.clone(),
                points: points.collect(),
            }
        };
        let charts = self
            .plan
            .figures
            .iter()
            .map(|f| (f.clone(), names.iter().map(|n| line(f, n)).collect()));
        let charts: Vec<(String, Vec<Series>)> = charts.collect();
        plot::experiment(&self.plan.name, &self.plan.axis[0].key, &charts, path)
    }
}
