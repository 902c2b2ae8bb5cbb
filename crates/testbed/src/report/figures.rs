//! Access to the figures of a report by name, for experiments, tables and comparisons.
//!
//! Names of earlier versions are accepted.

use super::{Report, ServerFigures};
use crate::conversion::{f64_from_count, f64_from_u64};
use crate::event_log::RequestOutcome;

/// A figure of a report.
struct Figure {
    name: &'static str,
    /// Its name in earlier versions, if it was another one.
    old_name: Option<&'static str>,
    /// Reads or computes its value; `None` if the report has none.
    value: fn(&Report) -> Option<f64>,
}

const fn figure(name: &'static str, value: fn(&Report) -> Option<f64>) -> Figure {
    Figure {
        name,
        old_name: None,
        value,
    }
}

const fn renamed(
    name: &'static str,
    old_name: &'static str,
    value: fn(&Report) -> Option<f64>,
) -> Figure {
    Figure {
        name,
        old_name: Some(old_name),
        value,
    }
}

/// All figures, in the order of the comparison table.
const FIGURES: [Figure; 26] = [
    figure("service", |r| Some(r.service)),
    figure("service_after_prices", |r| Some(r.service_after_prices)),
    renamed("overall", "whole", |r| Some(r.overall)),
    renamed("worst_window", "worst_stretch", |r| Some(r.worst_window)),
    figure("worst_class", |r| Some(r.worst_class)),
    renamed("worst_tenant", "worst_shop", |r| Some(r.worst_tenant)),
    figure("served", |r| Some(r.served_share())),
    renamed("rejected", "refused", |r| {
        Some(r.outcome_share(RequestOutcome::Rejected))
    }),
    figure("failed", |r| Some(r.outcome_share(RequestOutcome::Failed))),
    renamed("wasted_work", "wasted", |r| Some(r.wasted_work)),
    figure("goodput", |r| {
        Some(r.overall * f64_from_u64(r.arrivals) / r.seconds)
    }),
    renamed("health_checks_per_server", "probes_per_server", |r| {
        Some(rate_per_server(r, r.health_checks))
    }),
    renamed("health_checks_max", "probes_most", |r| {
        Some(max_over_servers(r, |s| s.health_checks) / r.seconds)
    }),
    figure("handshakes_per_server", |r| {
        Some(rate_per_server(r, r.handshakes))
    }),
    renamed("handshakes_max", "handshakes_most", |r| {
        Some(max_over_servers(r, |s| s.handshakes) / r.seconds)
    }),
    renamed("connections_max", "connections_most", |r| {
        Some(max_over_servers(r, |s| u64::from(s.connections_max)))
    }),
    figure("connections_per_server", |r| {
        Some(mean_gauge_per_server(r, |s| s.connections_sum))
    }),
    renamed("in_flight_per_server", "held_per_server", |r| {
        Some(mean_gauge_per_server(r, |s| s.in_flight_sum))
    }),
    renamed("discovery_polls_per_s", "list_calls", |r| {
        Some(f64_from_u64(r.discovery_polls) / r.seconds)
    }),
    renamed("discovery_polls_peak", "list_calls_peak", |r| {
        Some(f64::from(r.discovery_polls_peak))
    }),
    renamed("cross_zone_share", "crossing", |r| {
        Some(ratio(r.cross_zone_attempts, r.attempts))
    }),
    renamed("attempts_per_arrival", "routed", |r| {
        Some(ratio(r.attempts, r.arrivals))
    }),
    figure("p50_ms", |r| Some(r.latency_ms[0])),
    figure("p99_ms", |r| Some(r.latency_ms[2])),
    figure("recovered_s", |r| r.recovered_s),
    renamed("violations", "broken", |r| {
        Some(f64_from_u64(r.violation_count))
    }),
];

/// Names of all figures, without those of earlier versions.
pub const FIGURE_NAMES: [&str; FIGURES.len()] = figure_names();

const fn figure_names() -> [&'static str; FIGURES.len()] {
    let mut names = [""; FIGURES.len()];
    let mut index = 0;
    while index < names.len() {
        names[index] = FIGURES[index].name;
        index += 1;
    }
    names
}

fn find_figure(name: &str) -> Option<&'static Figure> {
    const ALL: &[Figure] = &FIGURES;
    ALL.iter()
        .find(|figure| figure.name == name || figure.old_name == Some(name))
}

/// Returns the current name of a figure, given its current name or that of an earlier version;
/// `None` for an unknown name.
pub fn current_figure_name(name: &str) -> Option<&'static str> {
    find_figure(name).map(|figure| figure.name)
}

impl Report {
    /// Returns a figure by its current name or that of an earlier version; `None` if the name is
    /// unknown or the figure has no value.
    pub fn figure(&self, name: &str) -> Option<f64> {
        (find_figure(name)?.value)(self)
    }
}

/// Divides two counts; a divisor of 0 counts as 1.
fn ratio(dividend: u64, divisor: u64) -> f64 {
    f64_from_u64(dividend) / f64_from_u64(divisor.max(1))
}

/// Returns a count per second and server.
fn rate_per_server(report: &Report, count: u64) -> f64 {
    f64_from_u64(count) / report.seconds / f64_from_count(report.servers.max(1))
}

/// Returns the mean over all servers of each server's mean over its gauges. Servers without gauges
/// count as 0.
fn mean_gauge_per_server(report: &Report, sum_of: fn(&ServerFigures) -> u64) -> f64 {
    let means = report
        .servers_by_number
        .iter()
        .filter(|server| server.gauges > 0)
        .map(|server| f64_from_u64(sum_of(server)) / f64_from_u64(server.gauges));
    means.sum::<f64>() / f64_from_count(report.servers.max(1))
}

fn max_over_servers(report: &Report, count_of: fn(&ServerFigures) -> u64) -> f64 {
    let counts = report.servers_by_number.iter().map(count_of);
    f64_from_u64(counts.max().unwrap_or(0))
}
