//! The plot of an experiment: one chart a figure, along the first axis.
//!
//! Owns the axes and their scale; means and intervals come from `experiment`.

use std::ops::Range;
use std::path::Path;

use plotters::coord::types::RangedCoordf64;
use plotters::element::ErrorBarOrientV;
use plotters::prelude::*;

use super::{Canvas, MARGIN, PlotError, SIZE, SvgError, THICK_LINE, colour, legend_line, titled};
use crate::conversion::u32_from_count;

/// Height of the title, in pixels.
const TITLE_HEIGHT: u32 = 60;
/// Height of each chart, in pixels.
const CHART_HEIGHT: u32 = 280;
/// An axis of positive values whose largest is this many times the least is logarithmic.
const LOGARITHMIC_FROM: f64 = 50.0;
/// Room beside the outermost points, as a share of the axis.
const SIDE_MARGIN: f64 = 0.03;
/// Least room beside them, in units of the axis, where all points lie at one place.
const MIN_SIDE_MARGIN: f64 = 1e-3;
/// Room above the highest point, as a share of the height.
const HEADROOM: f64 = 0.08;
/// Width of an error bar's ends, in pixels.
const ERROR_BAR_WIDTH: u32 = 6;

/// A chart whose axes are both numbers.
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// One line of a chart.
pub struct Series {
    /// Its name in the legend; empty for the only one.
    pub name: String,
    /// Place on the axis, mean, and half the width of the mean's confidence interval.
    pub points: Vec<(f64, f64, f64)>,
}

/// The horizontal axis of all charts.
struct Axis<'a> {
    name: &'a str,
    logarithmic: bool,
    range: Range<f64>,
}

impl<'a> Axis<'a> {
    fn over(name: &'a str, figures: &[(String, Vec<Series>)]) -> Self {
        let series = || figures.iter().flat_map(|(_, series)| series);
        let places = || series().flat_map(|line| &line.points).map(|point| point.0);
        let least = places().fold(f64::MAX, f64::min);
        let most = places().fold(f64::MIN, f64::max);
        let logarithmic = least > 0.0 && most / least >= LOGARITHMIC_FROM;
        let mut axis = Self {
            name,
            logarithmic,
            range: 0.0..0.0,
        };
        let from = axis.place(least);
        let to = axis.place(most.max(least + f64::MIN_POSITIVE));
        let gap = ((to - from) * SIDE_MARGIN).max(MIN_SIDE_MARGIN);
        axis.range = (from - gap)..(to + gap);
        axis
    }

    fn place(&self, value: f64) -> f64 {
        if self.logarithmic {
            value.log10()
        } else {
            value
        }
    }

    fn label(&self, place: f64) -> String {
        if self.logarithmic {
            format!("{:.0}", 10f64.powf(place))
        } else {
            format!("{place:.2}")
        }
    }
}

/// Draws figures against an axis into an SVG file, one chart a figure.
///
/// # Errors
/// Where the file cannot be written.
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
    let root = titled(path, (SIZE.0, height), title)?;
    let axis = Axis::over(axis, figures);
    for (area, (figure, series)) in root.split_evenly((charts, 1)).iter().zip(figures) {
        draw_figure(area, &axis, figure, series)?;
    }
    root.present()
}

/// The heights of a chart: from the lowest interval or 0 to above the highest.
fn heights(series: &[Series]) -> Range<f64> {
    let points = || series.iter().flat_map(|line| &line.points);
    let top = points().map(|p| p.1 + p.2).fold(f64::MIN, f64::max);
    let bottom = points().map(|p| p.1 - p.2).fold(0.0, f64::min);
    let top = if top > bottom {
        top + (top - bottom) * HEADROOM
    } else {
        bottom + 1.0
    };
    bottom..top
}

fn draw_figure(
    area: &Canvas<'_>,
    axis: &Axis<'_>,
    figure: &str,
    series: &[Series],
) -> Result<(), SvgError> {
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(axis.range.clone(), heights(series))?;
    chart
        .configure_mesh()
        .x_desc(axis.name)
        .y_desc(figure)
        .x_label_formatter(&|place| axis.label(*place))
        .max_light_lines(2)
        .draw()?;
    for (position, line) in series.iter().enumerate() {
        draw_line(&mut chart, axis, line, position)?;
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

/// Draws the line of a series; `position` is its place among the others of the chart.
fn draw_line(
    chart: &mut Chart<'_, '_>,
    axis: &Axis<'_>,
    line: &Series,
    position: usize,
) -> Result<(), SvgError> {
    let points = line.points.iter().map(|p| (axis.place(p.0), p.1));
    let style = colour(position).stroke_width(THICK_LINE);
    let drawn = chart.draw_series(LineSeries::new(points, style))?;
    if !line.name.is_empty() {
        drawn.label(line.name.clone()).legend(legend_line(position));
    }
    chart.draw_series(error_bars(axis, line, colour(position)))?;
    Ok(())
}

fn error_bars(
    axis: &Axis<'_>,
    line: &Series,
    colour: RGBColor,
) -> impl Iterator<Item = ErrorBar<f64, f64, ErrorBarOrientV<f64, f64>>> {
    line.points.iter().map(move |&(place, mean, half)| {
        ErrorBar::new_vertical(
            axis.place(place),
            mean - half,
            mean,
            mean + half,
            colour.filled(),
            ERROR_BAR_WIDTH,
        )
    })
}
