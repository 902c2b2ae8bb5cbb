//! Helpers to read scenarios, run the simulator and check its reports.

use arrowstand_testbed::event_log::{LogEvent, LogRecord, RequestOutcome};
use arrowstand_testbed::report::Report;
use arrowstand_testbed::scenario::ScenarioFile;
use arrowstand_testbed::simulator;
use toml::Value;

/// The text of a scenario in `scenarios/`.
pub(crate) fn shipped_text(name: &str) -> String {
    let path = format!("{}/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the scenario file can be read")
}

/// A shipped scenario with some keys set to other values.
pub(crate) fn shipped_scenario(name: &str, changes: &[(&str, Value)]) -> ScenarioFile {
    let file = ScenarioFile::read(name, &shipped_text(name)).unwrap_or_else(|e| panic!("{e}"));
    let changes = changes.iter();
    let changes: Vec<_> = changes
        .map(|(key, value)| ((*key).to_owned(), value.clone()))
        .collect();
    file.with_keys_set(&changes)
        .unwrap_or_else(|e| panic!("{e}"))
}

/// A shipped scenario with an additional fault.
pub(crate) fn shipped_scenario_with_fault(name: &str, fault: &str) -> ScenarioFile {
    let text = format!("{}{fault}", shipped_text(name));
    ScenarioFile::read(name, &text).unwrap_or_else(|e| panic!("{e}"))
}

/// Simulates a scenario; returns its report and event log.
pub(crate) fn simulate(scenario: &ScenarioFile) -> (Report, Vec<LogRecord>) {
    let mut log = Vec::new();
    let (report, _) =
        simulator::run(&scenario.scenario, Some(&mut log)).expect("the simulation runs");
    (report, log)
}

/// Simulates a scenario; returns its report as JSON.
pub(crate) fn simulate_to_json(scenario: &ScenarioFile) -> String {
    let (report, _) = simulator::run(&scenario.scenario, None).expect("the simulation runs");
    serde_json::to_string(&report).expect("the report can be serialised")
}

pub(crate) fn assert_no_violations(report: &Report, case: &str) {
    assert_eq!(report.violations, Vec::<String>::new(), "{case}");
}

pub(crate) fn assert_every_arrival_ends(report: &Report, case: &str) {
    let ended = report.classes.iter().flat_map(|class| &class.ended);
    let ended: u64 = ended.map(|(_, count)| count).sum();
    assert_eq!(ended, report.arrivals, "{case}: every arrival ends");
}

/// Asserts that each of these figures of the report is at most its bound.
pub(crate) fn assert_figures_within_bounds(report: &Report, bounds: &[(&str, f64)], case: &str) {
    for (figure, max) in bounds {
        let value = report.figure(figure).expect("a known figure");
        assert!(
            value <= *max,
            "{case}: {figure} is {value}, at most {max} allowed"
        );
    }
}

/// Whether a client received a response with this outcome.
pub(crate) fn has_response(log: &[LogRecord], expected: RequestOutcome) -> bool {
    log.iter().any(|record| {
        matches!(record.event, LogEvent::ResponseReceived { outcome, .. } if outcome == expected)
    })
}
