//! The results of an experiment: means with their confidence intervals, as a table and a plot.
//!
//! Owns the means and the form of the table; the charts are drawn by `plot`.

use std::fmt::Write as _;
use std::path::Path;

use statrs::distribution::{ContinuousCDF as _, StudentsT};

use super::plan::Plan;
use crate::conversion::{f64_from_count, f64_from_i64};
use crate::plot::{self, PlotError, Series};
use crate::report::Report;

/// Upper quantile of a two-sided 95 % confidence interval.
const UPPER_QUANTILE: f64 = 0.975;

/// One cell of the grid.
pub struct Cell {
    /// Values of the axes, in their order.
    pub values: Vec<toml::Value>,
    /// One report a seed.
    pub reports: Vec<Report>,
}

impl Cell {
    pub(super) fn new(values: Vec<toml::Value>) -> Self {
        Self {
            values,
            reports: Vec::new(),
        }
    }

    /// Mean and half the interval of a figure.
    fn figure(&self, name: &str) -> Option<(f64, f64)> {
        let reports = self.reports.iter();
        mean(&reports.filter_map(|r| r.figure(name)).collect::<Vec<f64>>())
    }

    fn violations(&self) -> u64 {
        self.reports.iter().map(|r| r.violation_count).sum()
    }

    /// Its place on the plot's axis: the first value, or the cell's position where that is
    /// no number.
    fn place(&self, position: usize) -> f64 {
        let value = &self.values[0];
        value
            .as_float()
            .or(value.as_integer().map(f64_from_i64))
            .unwrap_or(f64_from_count(position))
    }
}

/// An experiment that was played.
pub struct Results {
    /// What was asked for.
    pub plan: Plan,
    /// The cells, in the order of the grid.
    pub cells: Vec<Cell>,
}

/// Mean and half the width of its 95 % confidence interval, which is 0 for a single value; nothing
/// without values.
pub fn mean(values: &[f64]) -> Option<(f64, f64)> {
    let n = f64_from_count(values.len());
    let mean = values.iter().sum::<f64>() / n;
    if values.is_empty() || !mean.is_finite() {
        return None;
    }
    let squares = values.iter().map(|value| (value - mean).powi(2));
    let variance = squares.sum::<f64>() / (n - 1.0).max(1.0);
    let factor = StudentsT::new(0.0, 1.0, n - 1.0).map_or(0.0, |t| t.inverse_cdf(UPPER_QUANTILE));
    Some((mean, factor * (variance / n).sqrt()))
}

fn text(value: &toml::Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

impl Results {
    /// One row a cell: its values, then mean and half the interval of each figure, then its
    /// violations.
    pub fn csv(&self) -> String {
        let axes = self.plan.axis.iter().map(|axis| axis.key.clone());
        let figures = self.plan.figures.iter();
        let columns = figures.flat_map(|name| [name.clone(), format!("{name} +-")]);
        let head: Vec<String> = axes.chain(columns).collect();
        let mut table = format!("{},violations\n", head.join(","));
        for cell in &self.cells {
            let row = self.row(cell).join(",");
            let _ = writeln!(table, "{row},{}", cell.violations());
        }
        table
    }

    fn row(&self, cell: &Cell) -> Vec<String> {
        let figures = self.plan.figures.iter();
        let means = figures.flat_map(|name| match cell.figure(name) {
            Some((mean, half)) => [format!("{mean:.6}"), format!("{half:.6}")],
            None => [String::new(), String::new()],
        });
        cell.values.iter().map(text).chain(means).collect()
    }

    /// Violations over all runs.
    pub fn violation_count(&self) -> u64 {
        self.cells.iter().map(Cell::violations).sum()
    }

    /// Draws each figure along the first axis, a line for each place of the others.
    ///
    /// # Errors
    /// Where the file cannot be written.
    pub fn draw(&self, path: &Path) -> Result<(), PlotError> {
        let lines = self.line_names();
        let chart = |figure: &String| {
            let series = lines.iter().map(|line| self.series(figure, line));
            (figure.clone(), series.collect())
        };
        let charts: Vec<(String, Vec<Series>)> = self.plan.figures.iter().map(chart).collect();
        plot::experiment(&self.plan.name, &self.plan.axis[0].key, &charts, path)
    }

    /// The line that a cell is a point of, named after its values on all axes but the first.
    fn line_name(&self, cell: &Cell) -> String {
        let others = self.plan.axis.iter().zip(&cell.values).skip(1);
        let parts: Vec<String> = others
            .map(|(axis, value)| format!("{} {}", axis.key, text(value)))
            .collect();
        parts.join(", ")
    }

    fn line_names(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for name in self.cells.iter().map(|cell| self.line_name(cell)) {
            if !names.contains(&name) {
                names.push(name);
            }
        }
        names
    }

    fn series(&self, figure: &str, line: &str) -> Series {
        let cells = self.cells.iter().filter(|c| self.line_name(c) == line);
        let point = |(position, cell): (usize, &Cell)| {
            let (mean, half) = cell.figure(figure)?;
            Some((cell.place(position), mean, half))
        };
        Series {
            name: line.to_owned(),
            points: cells.enumerate().filter_map(point).collect(),
        }
    }
}
