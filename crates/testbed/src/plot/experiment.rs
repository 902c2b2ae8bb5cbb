//! The plot of an experiment: one chart per figure, against the first axis of the grid.

use std::ops::Range;
use std::path::Path;

use plotters::coord::types::RangedCoordf64;
use plotters::element::ErrorBarOrientV;
use plotters::prelude::*;

use super::{
    Canvas, MARGIN, PLOT_SIZE, PlotError, SERIES_LINE_WIDTH, SvgError, colour, legend_line,
    titled_canvas,
};
use crate::conversion::u32_from_count;

/// Height of the title, in pixels.
const TITLE_HEIGHT: u32 = 60;
/// Height of each chart, in pixels.
const CHART_HEIGHT: u32 = 280;
/// Ratio of the largest to the smallest value from which an axis of positive values is logarithmic.
const MIN_LOGARITHMIC_RATIO: f64 = 50.0;
/// Padding beside the outermost points, as a share of the axis.
const HORIZONTAL_PADDING: f64 = 0.03;
/// Minimum padding, in units of the axis, for points that all have the same coordinate.
const MIN_HORIZONTAL_PADDING: f64 = 1e-3;
/// Padding above the highest point, as a share of the height.
const TOP_PADDING: f64 = 0.08;
/// Width of the caps of an error bar, in pixels.
const ERROR_BAR_CAP_WIDTH: u32 = 6;

/// A chart with two numeric axes.
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// One line of a chart.
pub struct Series {
    /// Name in the legend; empty if the chart has no other line.
    pub name: String,
    /// Value on the horizontal axis, mean, and half-width of the mean's confidence interval.
    pub points: Vec<(f64, f64, f64)>,
}

/// The horizontal axis of all charts.
struct HorizontalAxis<'a> {
    name: &'a str,
    logarithmic: bool,
    /// Coordinates of both ends; on a logarithmic axis these are logarithms of the values.
    range: Range<f64>,
}

impl<'a> HorizontalAxis<'a> {
    /// Creates an axis that spans the points of all figures.
    fn spanning(name: &'a str, figures: &[(String, Vec<Series>)]) -> Self {
        let series = || figures.iter().flat_map(|(_, series)| series);
        let values = || series().flat_map(|line| &line.points).map(|point| point.0);
        let min = values().fold(f64::MAX, f64::min);
        let max = values().fold(f64::MIN, f64::max);
        let logarithmic = min > 0.0 && max / min >= MIN_LOGARITHMIC_RATIO;
        let mut axis = Self {
            name,
            logarithmic,
            range: 0.0..0.0,
        };
        let from = axis.coordinate(min);
        let to = axis.coordinate(max.max(min + f64::MIN_POSITIVE));
        let padding = ((to - from) * HORIZONTAL_PADDING).max(MIN_HORIZONTAL_PADDING);
        axis.range = (from - padding)..(to + padding);
        axis
    }

    /// Returns the coordinate of a value: its logarithm on a logarithmic axis.
    fn coordinate(&self, value: f64) -> f64 {
        if self.logarithmic {
            value.log10()
        } else {
            value
        }
    }

    /// Returns the label of the value at a coordinate.
    fn label(&self, coordinate: f64) -> String {
        if self.logarithmic {
            format!("{:.0}", 10f64.powf(coordinate))
        } else {
            format!("{coordinate:.2}")
        }
    }
}

/// Plots figures against an axis into an SVG file, one chart per figure.
///
/// # Errors
/// Returns an error if the file cannot be written or a value is not finite.
pub fn experiment(
    title: &str,
    axis: &str,
    figures: &[(String, Vec<Series>)],
    path: &Path,
) -> Result<(), PlotError> {
    draw(title, axis, figures, path).map_err(PlotError::at(path))
}

fn draw(
    title: &str,
    axis: &str,
    figures: &[(String, Vec<Series>)],
    path: &Path,
) -> Result<(), SvgError> {
    let charts = figures.len().max(1);
    let height = TITLE_HEIGHT + CHART_HEIGHT * u32_from_count(charts);
    let root = titled_canvas(path, (PLOT_SIZE.0, height), title)?;
    let axis = HorizontalAxis::spanning(axis, figures);
    for (area, (figure, series)) in root.split_evenly((charts, 1)).iter().zip(figures) {
        draw_figure(area, &axis, figure, series)?;
    }
    root.present()
}

/// Returns the range of a chart's vertical axis: from 0 or the lowest end of an interval, to above
/// the highest one.
fn vertical_range(series: &[Series]) -> Range<f64> {
    let points = || series.iter().flat_map(|line| &line.points);
    let top = points().map(|p| p.1 + p.2).fold(f64::MIN, f64::max);
    let bottom = points().map(|p| p.1 - p.2).fold(0.0, f64::min);
    let top = if top > bottom {
        top + (top - bottom) * TOP_PADDING
    } else {
        bottom + 1.0
    };
    bottom..top
}

fn draw_figure(
    area: &Canvas<'_>,
    axis: &HorizontalAxis<'_>,
    figure: &str,
    series: &[Series],
) -> Result<(), SvgError> {
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(axis.range.clone(), vertical_range(series))?;
    chart
        .configure_mesh()
        .x_desc(axis.name)
        .y_desc(figure)
        .x_label_formatter(&|coordinate| axis.label(*coordinate))
        .max_light_lines(2)
        .draw()?;
    for (series_index, line) in series.iter().enumerate() {
        draw_line(&mut chart, axis, line, series_index)?;
    }
    if series.iter().all(|line| line.name.is_empty()) {
        return Ok(());
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.7))
        .draw()
}

/// Draws the line of a series with its error bars.
fn draw_line(
    chart: &mut Chart<'_, '_>,
    axis: &HorizontalAxis<'_>,
    line: &Series,
    series_index: usize,
) -> Result<(), SvgError> {
    let points = line.points.iter().map(|p| (axis.coordinate(p.0), p.1));
    let style = colour(series_index).stroke_width(SERIES_LINE_WIDTH);
    let drawn = chart.draw_series(LineSeries::new(points, style))?;
    if !line.name.is_empty() {
        drawn
            .label(line.name.clone())
            .legend(legend_line(series_index));
    }
    chart.draw_series(error_bars(axis, line, colour(series_index)))?;
    Ok(())
}

fn error_bars(
    axis: &HorizontalAxis<'_>,
    line: &Series,
    colour: RGBColor,
) -> impl Iterator<Item = ErrorBar<f64, f64, ErrorBarOrientV<f64, f64>>> {
    line.points.iter().map(move |&(value, mean, half_width)| {
        ErrorBar::new_vertical(
            axis.coordinate(value),
            mean - half_width,
            mean,
            mean + half_width,
            colour.filled(),
            ERROR_BAR_CAP_WIDTH,
        )
    })
}
