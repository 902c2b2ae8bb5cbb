//! Comparison of two reports as a text table, with the rows of `figures`.

use std::fmt::Write as _;

use super::{FIGURE_NAMES, Report};

/// Returns a table of the figures of two reports and their differences, followed by the violations
/// of both.
pub fn compare(a: &Report, b: &Report) -> String {
    let mut text = format!("A: {}\nB: {}\n\n", run_label(a), run_label(b));
    let _ = writeln!(text, "{:<26}{:>12}{:>12}{:>12}", "", "A", "B", "B - A");
    for name in FIGURE_NAMES {
        write_row(&mut text, name, a.figure(name), b.figure(name));
    }
    for class in &a.classes {
        let same_class = b.classes.iter().find(|other| other.name == class.name);
        let service = same_class.and_then(|other| other.service);
        write_row(&mut text, &class.name, class.service, service);
    }
    for (violations, name) in [(&a.violations, "A"), (&b.violations, "B")] {
        for line in violations {
            let _ = writeln!(text, "{name} VIOLATED: {line}");
        }
    }
    text
}

fn run_label(report: &Report) -> String {
    format!("{} ({}, seed {})", report.name, report.engine, report.seed)
}

fn write_row(text: &mut String, name: &str, a: Option<f64>, b: Option<f64>) {
    let cell = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.4}"));
    let difference = a
        .zip(b)
        .map_or("-".into(), |(a, b)| format!("{:+.4}", b - a));
    let _ = writeln!(
        text,
        "{name:<26}{:>12}{:>12}{difference:>12}",
        cell(a),
        cell(b)
    );
}
