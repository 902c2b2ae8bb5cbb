//! The text form of a report.

use std::fmt::{self, Display, Formatter};

use super::Report;
use crate::conversion::u64_from_count;
use crate::event_log::RequestOutcome;

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write_header(self, f)?;
        write_service(self, f)?;
        write_traffic(self, f)?;
        write_latency(self, f)?;
        write_classes(self, f)?;
        write_tenants(self, f)?;
        write_remarks(self, f)?;
        write_failures(self, f)
    }
}

/// Formats outcomes with their counts, such as `served 6100, rejected 36`.
fn format_outcomes(outcomes: &[(RequestOutcome, u64)]) -> String {
    let parts: Vec<String> = outcomes
        .iter()
        .map(|(outcome, count)| format!("{outcome} {count}"))
        .collect();
    parts.join(", ")
}

fn format_quantiles(ms: &[f64; 5]) -> String {
    format!(
        "{:.1} / {:.1} / {:.1} / {:.1} / {:.1}",
        ms[0], ms[1], ms[2], ms[3], ms[4]
    )
}

fn format_service(service: Option<f64>) -> String {
    service.map_or("-".into(), |service| format!("{service:.4}"))
}

fn write_header(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    let Report {
        name,
        engine,
        seed,
        seconds,
        sidecars,
        servers,
        ..
    } = report;
    writeln!(
        f,
        "{name}: {engine}, seed {seed}, {seconds} s, {sidecars} sidecars, {servers} servers"
    )?;
    match &report.unreliable {
        Some(reason) => writeln!(f, "UNRELIABLE: {reason}"),
        None => Ok(()),
    }
}

fn write_service(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "service {:.4} (overall {:.4}, worst 10 s {:.4}, worst class {:.4}, worst tenant {:.4}); \
         {:.4} after prices",
        report.service,
        report.overall,
        report.worst_window,
        report.worst_class,
        report.worst_tenant,
        report.service_after_prices
    )
}

fn write_traffic(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "arrivals {}, requests {}, accepted {}",
        report.arrivals, report.requests, report.accepted
    )?;
    writeln!(f, "responses: {}", format_outcomes(&report.responses))?;
    writeln!(
        f,
        "attempts {} ({} across zones), health checks {}, handshakes {}, \
         discovery polls {} (peak {} a second), work wasted {:.1} %",
        report.attempts,
        report.cross_zone_attempts,
        report.health_checks,
        report.handshakes,
        report.discovery_polls,
        report.discovery_polls_peak,
        100.0 * report.wasted_work
    )
}

fn write_latency(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "latency in ms, 50 / 90 / 99 / 99.9 / 100 %: {}",
        format_quantiles(&report.latency_ms)
    )?;
    match report.recovered_s {
        Some(recovered) => writeln!(
            f,
            "recovered {recovered:.1} s after the last restart of a sidecar"
        ),
        None => Ok(()),
    }
}

fn write_classes(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    for class in &report.classes {
        let service = format_service(class.service);
        let ended = format_outcomes(&class.ended);
        writeln!(f, "  {:<14} service {service}; {ended}", class.name)?;
        writeln!(f, "  {:<14} {}", "", format_quantiles(&class.latency_ms))?;
    }
    Ok(())
}

fn write_tenants(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    for tenant in &report.tenants {
        let service = format_service(tenant.service);
        writeln!(
            f,
            "  {:<20} service {service} within its quota",
            tenant.name
        )?;
    }
    Ok(())
}

fn write_remarks(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    let overloaded = report
        .servers_by_number
        .iter()
        .filter(|server| server.overloaded_cold)
        .count();
    if overloaded > 0 {
        writeln!(f, "{overloaded} servers were overloaded while cold")?;
    }
    write_lines(f, "", &report.remarks)
}

fn write_failures(report: &Report, f: &mut Formatter<'_>) -> fmt::Result {
    write_lines(f, "COUNTERS DIFFER: ", &report.counter_differences)?;
    write_lines(f, "MISSED: ", &report.missed_expectations)?;
    write_lines(f, "VIOLATED: ", &report.violations)?;
    let listed = u64_from_count(report.violations.len());
    match report.violation_count.saturating_sub(listed) {
        0 => Ok(()),
        unlisted => writeln!(f, "VIOLATED: {unlisted} more"),
    }
}

fn write_lines(f: &mut Formatter<'_>, prefix: &str, lines: &[String]) -> fmt::Result {
    lines
        .iter()
        .try_for_each(|line| writeln!(f, "{prefix}{line}"))
}
