//! The plot of a report, by second of the run: the service of each class in the upper chart, the
//! outcomes of all arrivals in the lower one.

use std::path::Path;

use plotters::prelude::*;

use super::{
    Canvas, MARGIN, PLOT_SIZE, PlotError, SERIES_LINE_WIDTH, SvgError, colour, legend_line,
    titled_canvas,
};
use crate::conversion::f64_from_count;
use crate::report::Report;

/// Height of the upper chart, in pixels.
const UPPER_HEIGHT: u32 = 330;
/// Upper end of the vertical axes, as a multiple of the highest value.
const HEADROOM: f64 = 1.05;
/// Lines of the lower chart: columns of [`crate::report::SecondFigures`] and their labels.
const OUTCOME_LINES: [(usize, &str); 5] = [
    (0, "arrivals"),
    (1, "in time"),
    (2, "late"),
    (3, "rejected"),
    (4, "failed"),
];

/// Plots a report into an SVG file.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn report(report: &Report, path: &Path) -> Result<(), PlotError> {
    draw(report, path).map_err(PlotError::at(path))
}

fn draw(report: &Report, path: &Path) -> Result<(), SvgError> {
    let title = format!(
        "{}: {}, seed {}, service {:.3}",
        report.name, report.engine, report.seed, report.service
    );
    let root = titled_canvas(path, PLOT_SIZE, &title)?;
    let (upper, lower) = root.split_vertically(UPPER_HEIGHT);
    let end = f64_from_count(report.timeline.len().max(1));
    draw_service(report, &upper, end)?;
    draw_outcomes(report, &lower, end)?;
    root.present()
}

/// Returns the middle of a second on the time axis.
fn middle_of_second(second: usize) -> f64 {
    f64_from_count(second) + 0.5
}

fn draw_service(report: &Report, area: &Canvas<'_>, end: f64) -> Result<(), SvgError> {
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0f64..end, 0f64..HEADROOM)?;
    chart
        .configure_mesh()
        .y_desc("served in time, by class")
        .max_light_lines(2)
        .draw()?;
    for (class_index, class) in report.classes.iter().enumerate() {
        let seconds = report.timeline.iter().enumerate();
        let points = seconds.filter_map(|(second, row)| {
            let counts = row.0.get(class_index)?;
            let share = f64::from(counts[1]) / f64::from(counts[0]);
            (counts[0] > 0).then(|| (middle_of_second(second), share))
        });
        let line = LineSeries::new(points, colour(class_index).stroke_width(SERIES_LINE_WIDTH));
        chart
            .draw_series(line)?
            .label(class.name.clone())
            .legend(legend_line(class_index));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .border_style(BLACK)
        .draw()
}

/// Returns the counts of each second, summed over all classes.
fn counts_by_second(report: &Report) -> Vec<[u32; 5]> {
    let sum = |classes: &[[u32; 5]]| {
        let mut sum = [0; 5];
        for counts in classes {
            sum.iter_mut().zip(counts).for_each(|(s, c)| *s += c);
        }
        sum
    };
    report
        .timeline
        .iter()
        .map(|second| sum(&second.0))
        .collect()
}

fn draw_outcomes(report: &Report, area: &Canvas<'_>, end: f64) -> Result<(), SvgError> {
    let counts_by_second = counts_by_second(report);
    let highest = counts_by_second
        .iter()
        .map(|counts| counts[0])
        .max()
        .unwrap_or(1)
        .max(1);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0f64..end, 0f64..f64::from(highest) * HEADROOM)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("arrivals a second")
        .max_light_lines(2)
        .draw()?;
    for (column, name) in OUTCOME_LINES {
        let seconds = counts_by_second.iter().enumerate();
        let points =
            seconds.map(|(second, counts)| (middle_of_second(second), f64::from(counts[column])));
        let line = LineSeries::new(points, colour(column).stroke_width(1));
        chart
            .draw_series(line)?
            .label(name)
            .legend(legend_line(column));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .draw()
}
