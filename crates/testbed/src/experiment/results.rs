//! The results of an experiment: means with confidence intervals, as a CSV table and a plot.

use std::fmt::Write as _;
use std::path::Path;

use statrs::distribution::{ContinuousCDF as _, StudentsT};

use super::plan::Plan;
use crate::conversion::{f64_from_count, f64_from_i64};
use crate::plot::{self, PlotError, Series};
use crate::report::Report;

/// Upper quantile of a two-sided 95 % confidence interval.
const UPPER_QUANTILE: f64 = 0.975;

/// A cell of the grid, with its reports.
pub struct GridCell {
    /// Values of the axes, in the order of the axes.
    pub values: Vec<toml::Value>,
    /// One report per seed.
    pub reports: Vec<Report>,
}

impl GridCell {
    pub(super) fn new(values: Vec<toml::Value>) -> Self {
        Self {
            values,
            reports: Vec::new(),
        }
    }

    /// Returns the mean of a figure and the half-width of its confidence interval.
    fn figure_mean(&self, name: &str) -> Option<(f64, f64)> {
        let reports = self.reports.iter();
        mean_with_interval(&reports.filter_map(|r| r.figure(name)).collect::<Vec<f64>>())
    }

    fn violation_count(&self) -> u64 {
        self.reports.iter().map(|r| r.violation_count).sum()
    }

    /// Returns the cell's coordinate on the horizontal axis: its value on the first axis, or
    /// `index`, its place in the line, if that value is not a number.
    fn x_coordinate(&self, index: usize) -> f64 {
        let value = &self.values[0];
        value
            .as_float()
            .or(value.as_integer().map(f64_from_i64))
            .unwrap_or(f64_from_count(index))
    }
}

/// The results of an experiment.
pub struct Results {
    /// The plan that was run.
    pub plan: Plan,
    /// The cells, in the order of the grid.
    pub cells: Vec<GridCell>,
}

/// Returns the mean of values and the half-width of its 95 % confidence interval, which is 0 for a
/// single value. Returns `None` without values or if the mean is not finite.
pub fn mean_with_interval(values: &[f64]) -> Option<(f64, f64)> {
    let n = f64_from_count(values.len());
    let mean = values.iter().sum::<f64>() / n;
    if values.is_empty() || !mean.is_finite() {
        return None;
    }
    let squared_deviations = values.iter().map(|value| (value - mean).powi(2));
    let variance = squared_deviations.sum::<f64>() / (n - 1.0).max(1.0);
    let factor = StudentsT::new(0.0, 1.0, n - 1.0).map_or(0.0, |t| t.inverse_cdf(UPPER_QUANTILE));
    Some((mean, factor * (variance / n).sqrt()))
}

fn format_value(value: &toml::Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

impl Results {
    /// Returns the table as CSV with one row per cell: the values of the axes, the mean and the
    /// half-width of the interval of each figure, and the number of violations.
    pub fn csv(&self) -> String {
        let axes = self.plan.axis.iter().map(|axis| axis.key.clone());
        let figures = self.plan.figures.iter();
        let columns = figures.flat_map(|name| [name.clone(), format!("{name} +-")]);
        let header: Vec<String> = axes.chain(columns).collect();
        let mut table = format!("{},violations\n", header.join(","));
        for cell in &self.cells {
            let row = self.row(cell).join(",");
            let _ = writeln!(table, "{row},{}", cell.violation_count());
        }
        table
    }

    fn row(&self, cell: &GridCell) -> Vec<String> {
        let figures = self.plan.figures.iter();
        let means = figures.flat_map(|name| match cell.figure_mean(name) {
            Some((mean, half_width)) => [format!("{mean:.6}"), format!("{half_width:.6}")],
            None => [String::new(), String::new()],
        });
        cell.values.iter().map(format_value).chain(means).collect()
    }

    /// Returns the number of violations in all runs.
    pub fn violation_count(&self) -> u64 {
        self.cells.iter().map(GridCell::violation_count).sum()
    }

    /// Plots each figure against the first axis, with a line for each combination of values of the
    /// other axes.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written or a mean cannot be drawn.
    pub fn draw(&self, path: &Path) -> Result<(), PlotError> {
        let lines = self.line_names();
        let chart = |figure: &String| {
            let series = lines.iter().map(|line| self.series(figure, line));
            (figure.clone(), series.collect())
        };
        let charts: Vec<(String, Vec<Series>)> = self.plan.figures.iter().map(chart).collect();
        plot::experiment(&self.plan.name, &self.plan.axis[0].key, &charts, path)
    }

    /// Returns the name of the line that the cell is a point of: its values on all axes except the
    /// first.
    fn line_name(&self, cell: &GridCell) -> String {
        let others = self.plan.axis.iter().zip(&cell.values).skip(1);
        let parts: Vec<String> = others
            .map(|(axis, value)| format!("{} {}", axis.key, format_value(value)))
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
        let point = |(index, cell): (usize, &GridCell)| {
            let (mean, half_width) = cell.figure_mean(figure)?;
            Some((cell.x_coordinate(index), mean, half_width))
        };
        Series {
            name: line.to_owned(),
            points: cells.enumerate().filter_map(point).collect(),
        }
    }
}
