//! Reports and experiments as SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::report::Report;

type Drawn = Result<(), Box<dyn Error>>;

const SIZE: (u32, u32) = (960, 640);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
];

fn colour(number: usize) -> RGBColor {
    COLOURS[number % COLOURS.len()]
}

/// Draws a report: answers in time by class above, what became of all wishes below, second by second.
///
/// # Errors
/// Where the file cannot be written.
pub fn report(report: &Report, path: &Path) -> Drawn {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let title = format!(
        "{}: {}, seed {}, service {:.3}",
        report.name, report.engine, report.seed, report.service
    );
    let root = root.titled(&title, ("sans-serif", 18))?;
    let (above, below) = root.split_vertically(330);
    let end = report.timeline.len().max(1) as f64;

    let mut chart = ChartBuilder::on(&above)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0f64..end, 0f64..1.05f64)?;
    chart
        .configure_mesh()
        .y_desc("answered in time, by class")
        .max_light_lines(2)
        .draw()?;
    for (number, class) in report.classes.iter().enumerate() {
        let points = report
            .timeline
            .iter()
            .enumerate()
            .filter_map(|(second, row)| {
                let cell = row.0.get(number)?;
                (cell[0] > 0)
                    .then(|| (second as f64 + 0.5, f64::from(cell[1]) / f64::from(cell[0])))
            });
        chart
            .draw_series(LineSeries::new(points, colour(number).stroke_width(2)))?
            .label(class.name.clone())
            .legend(move |(x, y)| {
                PathElement::new([(x, y), (x + 16, y)], colour(number).stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .border_style(BLACK)
        .draw()?;

    let sums: Vec<[u32; 5]> = report
        .timeline
        .iter()
        .map(|row| {
            let mut sum = [0; 5];
            row.0
                .iter()
                .for_each(|cell| sum.iter_mut().zip(cell).for_each(|(s, c)| *s += c));
            sum
        })
        .collect();
    let top = sums.iter().map(|s| s[0]).max().unwrap_or(1).max(1);
    let mut chart = ChartBuilder::on(&below)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0f64..end, 0f64..f64::from(top) * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("wishes a second")
        .max_light_lines(2)
        .draw()?;
    for (at, name) in [
        (0, "asked"),
        (1, "in time"),
        (2, "late"),
        (3, "refused"),
        (4, "failed"),
    ] {
        let points = sums
            .iter()
            .enumerate()
            .map(|(second, s)| (second as f64 + 0.5, f64::from(s[at])));
        chart
            .draw_series(LineSeries::new(points, colour(at).stroke_width(1)))?
            .label(name)
            .legend(move |(x, y)| {
                PathElement::new([(x, y), (x + 16, y)], colour(at).stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// One line of an experiment's plot: points of place, mean and half the width of its confidence interval.
pub struct Series {
    pub name: String,
    pub points: Vec<(f64, f64, f64)>,
}

/// Draws figures against an axis, one chart a figure; the axis is logarithmic where it spans a factor of 50.
///
/// # Errors
/// Where the file cannot be written.
pub fn experiment(
    title: &str,
    axis: &str,
    figures: &[(String, Vec<Series>)],
    path: &Path,
) -> Drawn {
    let height = 60 + 280 * figures.len().max(1) as u32;
    let root = SVGBackend::new(path, (SIZE.0, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let root = root.titled(title, ("sans-serif", 18))?;
    let places = || {
        figures
            .iter()
            .flat_map(|f| &f.1)
            .flat_map(|s| &s.points)
            .map(|p| p.0)
    };
    let (least, most) = (
        places().fold(f64::MAX, f64::min),
        places().fold(f64::MIN, f64::max),
    );
    let log = least > 0.0 && most / least >= 50.0;
    let at = |x: f64| if log { x.log10() } else { x };
    let (from, to) = (at(least), at(most.max(least + f64::MIN_POSITIVE)));
    let gap = ((to - from) * 0.03).max(1e-3);
    for (area, (figure, lines)) in root
        .split_evenly((figures.len().max(1), 1))
        .iter()
        .zip(figures)
    {
        let heights = || lines.iter().flat_map(|s| &s.points);
        let top = heights().map(|p| p.1 + p.2).fold(f64::MIN, f64::max);
        let bottom = heights().map(|p| p.1 - p.2).fold(0.0, f64::min);
        let top = if top > bottom {
            top + (top - bottom) * 0.08
        } else {
            bottom + 1.0
        };
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d((from - gap)..(to + gap), bottom..top)?;
        let label = |x: &f64| {
            if log {
                format!("{:.0}", 10f64.powf(*x))
            } else {
                format!("{x:.2}")
            }
        };
        chart
            .configure_mesh()
            .x_desc(axis)
            .y_desc(figure)
            .x_label_formatter(&label)
            .max_light_lines(2)
            .draw()?;
        for (number, line) in lines.iter().enumerate() {
            let points = line.points.iter().map(|p| (at(p.0), p.1));
            let series =
                chart.draw_series(LineSeries::new(points, colour(number).stroke_width(2)))?;
            if !line.name.is_empty() {
                series.label(line.name.clone()).legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], colour(number).stroke_width(2))
                });
            }
            let bars = line.points.iter().map(|p| {
                ErrorBar::new_vertical(
                    at(p.0),
                    p.1 - p.2,
                    p.1,
                    p.1 + p.2,
                    colour(number).filled(),
                    6,
                )
            });
            chart.draw_series(bars)?;
        }
        if lines.iter().any(|l| !l.name.is_empty()) {
            chart
                .configure_series_labels()
                .border_style(BLACK)
                .background_style(WHITE.mix(0.7))
                .draw()?;
        }
    }
    root.present()?;
    Ok(())
}
