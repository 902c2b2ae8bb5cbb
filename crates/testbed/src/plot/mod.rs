//! Reports and experiments as SVG files.
//!
//! Owns sizes, colours and the form of the charts; the figures come from `report` and `experiment`.

mod experiment;
mod report;

use std::io;
use std::path::{Path, PathBuf};

use plotters::coord::Shift;
use plotters::prelude::*;

pub use experiment::{Series, experiment};
pub use report::report;

/// Width and height of a report's plot, and width of an experiment's, in pixels.
const SIZE: (u32, u32) = (960, 640);
/// Size of the title's letters, in pixels.
const TITLE_SIZE: i32 = 18;
/// Margin around a chart, in pixels.
const MARGIN: i32 = 8;
/// Length of a line in a legend, in pixels.
const LEGEND_LINE: i32 = 16;
/// Width of the lines that stand for a class or a value, in pixels.
const THICK_LINE: u32 = 2;
/// Colours of the series, in their order; a seventh series has that of the first.
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

/// A plot that could not be drawn: its file cannot be written, or a figure is not finite.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct PlotError {
    /// The plot's file.
    pub path: PathBuf,
    /// What went wrong.
    pub source: SvgError,
}

impl PlotError {
    fn at(path: &Path) -> impl FnOnce(SvgError) -> Self + '_ {
        |source| Self {
            path: path.to_owned(),
            source,
        }
    }
}

/// The colour of a series, by its place among the others.
fn colour(position: usize) -> RGBColor {
    COLOURS[position % COLOURS.len()]
}

/// An empty sheet with its title.
fn titled<'a>(path: &'a Path, size: (u32, u32), title: &str) -> Result<Canvas<'a>, SvgError> {
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE)?;
    root.titled(title, ("sans-serif", TITLE_SIZE))
}

/// The line that stands for a series in a legend.
fn legend_line(position: usize) -> impl Fn((i32, i32)) -> PathElement<(i32, i32)> + Copy + 'static {
    move |(x, y)| {
        PathElement::new(
            [(x, y), (x + LEGEND_LINE, y)],
            colour(position).stroke_width(THICK_LINE),
        )
    }
}
