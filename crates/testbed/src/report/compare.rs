//! Two reports side by side.
//!
//! Owns the form of the table; its rows are those of `figures`.

use std::fmt::Write as _;

use super::{FIGURE_NAMES, Report};

/// A table of all figures of two reports and their differences, with the violations of both below.
pub fn compare(a: &Report, b: &Report) -> String {
    let mut text = format!("A: {}\nB: {}\n\n", head(a), head(b));
    let _ = writeln!(text, "{:<26}{:>12}{:>12}{:>12}", "", "A", "B", "B - A");
    for name in FIGURE_NAMES {
        write_row(&mut text, name, a.figure(name), b.figure(name));
    }
    for class in &a.classes {
        let other = b.classes.iter().find(|other| other.name == class.name);
        let service = other.and_then(|other| other.service);
        write_row(&mut text, &class.name, class.service, service);
    }
    for (violations, name) in [(&a.violations, "A"), (&b.violations, "B")] {
        for line in violations {
            let _ = writeln!(text, "{name} VIOLATED: {line}");
        }
    }
    text
}

fn head(report: &Report) -> String {
    format!("{} ({}, seed {})", report.name, report.engine, report.seed)
}

fn write_row(text: &mut String, name: &str, a: Option<f64>, b: Option<f64>) {
    let cell = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.4}"));
    let change = a
        .zip(b)
        .map_or("-".into(), |(a, b)| format!("{:+.4}", b - a));
    let _ = writeln!(text, "{name:<26}{:>12}{:>12}{change:>12}", cell(a), cell(b));
}
