//! How the simulator's tests read, play and judge a scenario.

use arrowstand_testbed::event_log::{LogEvent, LogRecord, RequestOutcome};
use arrowstand_testbed::report::Report;
use arrowstand_testbed::scenario::ScenarioFile;
use arrowstand_testbed::simulator;
use toml::Value;

/// The text of a shipped scenario.
pub(crate) fn shipped(name: &str) -> String {
    let path = format!("{}/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("shipped")
}

/// A shipped scenario with keys set to other values.
pub(crate) fn scenario(name: &str, changes: &[(&str, Value)]) -> ScenarioFile {
    let read = ScenarioFile::read(name, &shipped(name)).unwrap_or_else(|e| panic!("{e}"));
    let changes = changes.iter();
    let changes: Vec<_> = changes
        .map(|(key, value)| ((*key).to_owned(), value.clone()))
        .collect();
    read.with_keys_set(&changes)
        .unwrap_or_else(|e| panic!("{e}"))
}

/// A shipped scenario with a fault more.
pub(crate) fn scenario_with_fault(name: &str, fault: &str) -> ScenarioFile {
    let text = format!("{}{fault}", shipped(name));
    ScenarioFile::read(name, &text).unwrap_or_else(|e| panic!("{e}"))
}

/// Report and event log of a scenario.
pub(crate) fn play(scenario: &ScenarioFile) -> (Report, Vec<LogRecord>) {
    let mut log = Vec::new();
    let (report, _) = simulator::run(&scenario.scenario, Some(&mut log)).expect("played");
    (report, log)
}

/// Report of a scenario, as it is written.
pub(crate) fn report_json(scenario: &ScenarioFile) -> String {
    let (report, _) = simulator::run(&scenario.scenario, None).expect("played");
    serde_json::to_string(&report).expect("written")
}

pub(crate) fn assert_keeps_rules(report: &Report, case: &str) {
    assert_eq!(report.violations, Vec::<String>::new(), "{case}");
}

pub(crate) fn assert_ends_every_arrival(report: &Report, case: &str) {
    let ended = report.classes.iter().flat_map(|class| &class.ended);
    let ended: u64 = ended.map(|(_, count)| count).sum();
    assert_eq!(ended, report.arrivals, "{case}: every arrival ends");
}

/// Bounds on what each server bears, by the figures of the report.
pub(crate) fn assert_bounds(report: &Report, bounds: &[(&str, f64)], case: &str) {
    for (figure, most) in bounds {
        let seen = report.figure(figure).expect("known");
        assert!(seen <= *most, "{case}: {figure} {seen}");
    }
}

pub(crate) fn has_response(log: &[LogRecord], wanted: RequestOutcome) -> bool {
    log.iter().any(|record| {
        matches!(record.event, LogEvent::ResponseReceived { outcome, .. } if outcome == wanted)
    })
}
