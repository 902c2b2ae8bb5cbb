//! Tests of the report: reading reports of earlier versions, round trips, figures under current and
//! old names, and the text form.

use std::collections::HashSet;

use super::{
    EMULATOR, FIGURE_NAMES, Report, SIMULATOR, SecondFigures, ServerFigures, compare,
    current_figure_name,
};
use crate::event_log::RequestOutcome;

/// A report that an earlier version wrote for the scenario `calm`, cut to two seconds of its
/// timeline and two of its servers.
const OLD_REPORT: &str = include_str!("../../tests/data/records/calm-1.json");

/// Renamed figures: old and current name.
const RENAMED: [(&str, &str); 15] = [
    ("whole", "overall"),
    ("worst_stretch", "worst_window"),
    ("worst_shop", "worst_tenant"),
    ("refused", "rejected"),
    ("wasted", "wasted_work"),
    ("probes_per_server", "health_checks_per_server"),
    ("probes_most", "health_checks_max"),
    ("handshakes_most", "handshakes_max"),
    ("connections_most", "connections_max"),
    ("held_per_server", "in_flight_per_server"),
    ("list_calls", "discovery_polls_per_s"),
    ("list_calls_peak", "discovery_polls_peak"),
    ("crossing", "cross_zone_share"),
    ("routed", "attempts_per_arrival"),
    ("broken", "violations"),
];

/// Figures that were never renamed.
const KEPT: [&str; 11] = [
    "service",
    "service_after_prices",
    "worst_class",
    "served",
    "failed",
    "goodput",
    "handshakes_per_server",
    "connections_per_server",
    "p50_ms",
    "p99_ms",
    "recovered_s",
];

fn old_report() -> Report {
    serde_json::from_str(OLD_REPORT).expect("read")
}

/// Asserts equality up to the last digit: `serde_json` reads some numbers one unit in the last
/// place off.
fn assert_close(actual: f64, expected: f64) {
    let tolerance = 2.0 * f64::EPSILON * expected.abs();
    assert!(
        (actual - expected).abs() <= tolerance,
        "{actual} is not {expected}"
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn a_report_of_an_earlier_version_keeps_its_figures() {
    let report = old_report();
    assert_eq!((report.name.as_str(), report.seed), ("calm", 1));
    assert_close(report.overall, 0.994_049_094_966_526_2);
    assert_close(report.worst_window, 0.992_018_779_342_723);
    assert_close(report.worst_tenant, 0.990_540_540_540_540_5);
    assert_eq!(
        (report.arrivals, report.requests, report.accepted),
        (6_119, 6_145, 6_145)
    );
    let responses = [
        (RequestOutcome::Served, 6_100),
        (RequestOutcome::Rejected, 36),
        (RequestOutcome::Failed, 9),
    ];
    assert_eq!(report.responses, responses);
    assert_eq!(
        (report.attempts, report.cross_zone_attempts),
        (6_150, 2_279)
    );
    assert_eq!(
        (
            report.health_checks,
            report.discovery_polls,
            report.discovery_polls_peak
        ),
        (40_881, 5, 5)
    );
    assert_close(report.wasted_work, 0.049_226_813_713_795_226);
    assert_eq!(report.tenants[5].name, "oita-funai");
    assert_eq!(
        report.timeline[0],
        SecondFigures(vec![
            [76, 75, 1, 0, 0],
            [47, 47, 0, 0, 0],
            [23, 23, 0, 0, 0],
            [13, 13, 0, 0, 0]
        ])
    );
    let server = ServerFigures {
        attempts: 391,
        received: 391,
        rejected: 0,
        health_checks: 2_828,
        handshakes: 22,
        work_s: 37.309_926_410_410_55,
        overloaded_cold: false,
        gauges: 41,
        in_flight_sum: 30,
        in_flight_max: 2,
        connections_sum: 428,
        connections_max: 12,
    };
    assert_eq!(report.servers_by_number[0], server);
    assert_eq!(
        report.remarks,
        ["0 job servers were choked for a time; one held 5 at most"]
    );
    assert!(report.passes(), "{report}");
}

#[test]
fn an_old_report_with_violations_or_unreliable_figures_does_not_pass() {
    let report_with = |key: &str, value: serde_json::Value| {
        let mut report: serde_json::Value = serde_json::from_str(OLD_REPORT).expect("read");
        report[key] = value;
        serde_json::from_value::<Report>(report).expect("read")
    };
    let report = report_with("broken", vec!["rule 'one final answer'"].into());
    assert_eq!(report.violations, ["rule 'one final answer'"]);
    assert!(!report_with("broken_count", 1.into()).passes());
    assert!(!report_with("missed", vec!["service is 0.9"].into()).passes());
    assert!(!report_with("uncounted", vec!["answers served"].into()).passes());
    assert!(!report_with("late", "the machine ran late".into()).passes());
}

#[test]
fn engine_names_of_old_reports_become_the_current_names() {
    for (old, new) in [("model", SIMULATOR), ("stage", EMULATOR)] {
        let text = OLD_REPORT.replace("\"engine\": \"model\"", &format!("\"engine\": {old:?}"));
        let report: Report = serde_json::from_str(&text).expect("read");
        assert_eq!(report.engine, new);
    }
}

#[test]
fn an_old_report_is_unchanged_by_a_round_trip_in_the_current_form() {
    let old = old_report();
    let text = serde_json::to_string_pretty(&old).expect("written");
    assert!(
        text.contains("\"arrivals\": 6119") && !text.contains("\"asked\""),
        "{text}"
    );
    let new: Report = serde_json::from_str(&text).expect("read");
    assert_eq!(new, old);
    let compared = compare(&old, &new);
    for name in FIGURE_NAMES
        .iter()
        .filter(|name| old.figure(name).is_some())
    {
        let row = compared
            .lines()
            .find(|line| line.starts_with(&format!("{name} ")));
        assert!(
            row.is_some_and(|row| row.ends_with("+0.0000")),
            "{name}: {compared}"
        );
    }
}

#[test]
fn each_figure_is_found_by_its_current_and_its_old_name() {
    let report = old_report();
    for (old, new) in RENAMED {
        assert!(
            FIGURE_NAMES.contains(&new) && !FIGURE_NAMES.contains(&old),
            "{old}, {new}"
        );
        assert_eq!(
            (current_figure_name(old), current_figure_name(new)),
            (Some(new), Some(new))
        );
        assert!(report.figure(old).is_some(), "{old}");
        assert_eq!(report.figure(old), report.figure(new), "{old}, {new}");
    }
    for name in KEPT {
        assert!(FIGURE_NAMES.contains(&name), "{name}");
        assert_eq!(current_figure_name(name), Some(name));
    }
    assert_eq!(RENAMED.len() + KEPT.len(), FIGURE_NAMES.len());
    assert_eq!(HashSet::from(FIGURE_NAMES).len(), FIGURE_NAMES.len());
    assert_eq!(
        (
            current_figure_name("no_such_figure"),
            report.figure("no_such_figure")
        ),
        (None, None)
    );
}

#[test]
fn the_text_lists_figures_violations_and_reasons_for_failure() {
    let mut report = old_report();
    report.unreliable = Some("the machine ran late".into());
    report.counter_differences = vec!["responses served: sidecars 1, emulated servers 2".into()];
    report.missed_expectations = vec!["service is 0.900, below 0.950".into()];
    report.violations = vec!["at 1.000 s, request 1".into()];
    report.violation_count = 3;
    let text = report.to_string();
    for line in [
        "calm: simulator, seed 1, 40 s, 5 sidecars, 14 servers",
        "UNRELIABLE: the machine ran late",
        "arrivals 6119, requests 6145, accepted 6145",
        "responses: served 6100, rejected 36, failed 9",
        "attempts 6150 (2279 across zones), health checks 40881, handshakes 395, \
         discovery polls 5 (peak 5 a second), work wasted 4.9 %",
        "  oita-funai           service 0.9905 within its quota",
        "COUNTERS DIFFER: responses served: sidecars 1, emulated servers 2",
        "MISSED: service is 0.900, below 0.950",
        "VIOLATED: at 1.000 s, request 1",
        "VIOLATED: 2 more",
    ] {
        assert!(text.lines().any(|l| l == line), "{line}\n{text}");
    }
}
