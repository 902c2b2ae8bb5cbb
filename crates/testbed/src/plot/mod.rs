//! Plots of reports and experiments, as SVG files.
//!
//! This file has the sizes, colours and elements that both plots share.

mod experiment;
mod report;

use std::io;
use std::path::{Path, PathBuf};

use plotters::coord::Shift;
use plotters::prelude::*;

pub use experiment::{Series, experiment};
pub use report::report;

/// Width and height of a report's plot, and width of an experiment's, in pixels.
const PLOT_SIZE: (u32, u32) = (960, 640);
/// Font size of the title, in pixels.
const TITLE_SIZE: i32 = 18;
/// Margin around a chart, in pixels.
const MARGIN: i32 = 8;
/// Length of the line samples in a legend, in pixels.
const LEGEND_LINE_LENGTH: i32 = 16;
/// Width of the line of a series, in pixels.
const SERIES_LINE_WIDTH: u32 = 2;
/// Colours of the series, by index; they repeat from the seventh series on.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
];

type SvgError = DrawingAreaErrorKind<io::Error>;
type Canvas<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Error of drawing a plot: the file cannot be written, or a figure is not finite.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct PlotError {
    /// The plot's file.
    pub path: PathBuf,
    /// The error of the plotting library.
    pub source: SvgError,
}

impl PlotError {
    /// Returns a function that adds the path of the plot's file to an error.
    fn at(path: &Path) -> impl FnOnce(SvgError) -> Self + '_ {
        |source| Self {
            path: path.to_owned(),
            source,
        }
    }
}

/// Returns the colour of the series with this index.
fn colour(series_index: usize) -> RGBColor {
    COLOURS[series_index % COLOURS.len()]
}

/// Creates a white canvas with a title.
fn titled_canvas<'a>(
    path: &'a Path,
    size: (u32, u32),
    title: &str,
) -> Result<Canvas<'a>, SvgError> {
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE)?;
    root.titled(title, ("sans-serif", TITLE_SIZE))
}

/// Returns the line sample of a series for the legend.
fn legend_line(
    series_index: usize,
) -> impl Fn((i32, i32)) -> PathElement<(i32, i32)> + Copy + 'static {
    move |(x, y)| {
        PathElement::new(
            [(x, y), (x + LEGEND_LINE_LENGTH, y)],
            colour(series_index).stroke_width(SERIES_LINE_WIDTH),
        )
    }
}
