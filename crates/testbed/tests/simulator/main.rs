//! Tests of the simulator: equal reports for equal seeds, no violated rules, and its faults.

mod fleet;
mod support;

use arrowstand_testbed::event_log::{LogEvent, LogRecord, RequestOutcome};
use toml::Value;

use support::{
    assert_every_arrival_ends, assert_no_violations, has_response, shipped_scenario,
    shipped_scenario_with_fault, simulate, simulate_to_json,
};

#[test]
fn equal_seeds_give_equal_reports_and_another_seed_a_different_one() {
    let first = shipped_scenario("festival", &[]);
    let report = simulate_to_json(&first);
    assert_eq!(report, simulate_to_json(&first));
    let other = shipped_scenario("festival", &[("seed", 2.into())]);
    assert_ne!(report, simulate_to_json(&other));
}

#[test]
fn an_additional_server_does_not_change_the_arrivals() {
    let arrivals = |servers: i64| -> Vec<_> {
        let changes = [
            ("seconds", 5.0.into()),
            ("load.rate", 200.0.into()),
            ("servers[0].count", servers.into()),
        ];
        let (_, log) = simulate(&shipped_scenario("calm", &changes));
        let arrival = |record: &LogRecord| match record.event {
            LogEvent::ArrivalStarted {
                sidecar,
                class,
                tenant,
                ..
            } => Some((record.at, sidecar, class, tenant)),
            _ => None,
        };
        log.iter().filter_map(arrival).collect()
    };
    let with_six_servers = arrivals(6);
    let with_seven_servers = arrivals(7);
    assert!(with_six_servers.len() > 500);
    assert_eq!(with_six_servers, with_seven_servers);
}

#[test]
fn in_shipped_scenarios_no_rule_is_violated_and_every_arrival_ends() {
    for name in [
        "calm",
        "cold-return",
        "rolling-restart",
        "restart-all",
        "brim",
        "try",
    ] {
        let (report, _) = simulate(&shipped_scenario(name, &[]));
        assert_no_violations(&report, name);
        assert_every_arrival_ends(&report, name);
    }
}

/// Scenarios in which only responses carry load reports. Requests share cores and have work hints,
/// late responses keep some value, and clients retry. Without the load reports, service is 0.33 and
/// 0.26 (seed 1).
#[test]
fn with_load_reports_in_responses_no_rule_is_violated_and_service_is_above_its_minimum() {
    for (name, min_service) in [("consulta-burst", 0.65), ("consulta-roll", 0.7)] {
        for seed in 1..=4 {
            let (report, _) = simulate(&shipped_scenario(name, &[("seed", seed.into())]));
            let case = format!("{name}, seed {seed}");
            assert_no_violations(&report, &case);
            assert!(report.service > min_service, "{case}: {}", report.service);
        }
    }
}

#[test]
fn a_server_that_falls_silent_amid_requests_fails_some_and_does_no_work_meanwhile() {
    let fault = r#"
[[fault]]
kind = "silence"
at_s = 3.0
for_s = 4.0
servers = ["s0"]
"#;
    let (report, log) = simulate(&shipped_scenario_with_fault("try", fault));
    assert_no_violations(&report, "silence");
    assert!(has_response(&log, RequestOutcome::Failed));
    // The server does no work while it is silent.
    let is_work_during_fault = |record: &&LogRecord| {
        matches!(record.event, LogEvent::WorkDone { server, .. } if server.index() == 0)
            && (3_000_000..7_000_000).contains(&record.at)
    };
    assert_eq!(log.iter().filter(is_work_during_fault).count(), 0);
}

#[test]
fn sidecars_restarted_while_servers_are_slow_lose_connections_but_violate_no_rule() {
    let changes = [
        ("fault[0].at_s", Value::Float(5.0)),
        ("fault[3].at_s", Value::Float(8.0)),
        ("fault[3].for_s", Value::Float(8.0)),
        ("seconds", Value::Float(101.0)),
    ];
    let (report, log) = simulate(&shipped_scenario("festival", &changes));
    assert_no_violations(&report, "festival");
    assert!(has_response(&log, RequestOutcome::ConnectionLost));
}

#[test]
fn arrivals_above_the_limit_of_open_requests_are_dropped_and_reported() {
    let changes = [
        ("load.rate", Value::Float(5_000.0)),
        ("seconds", Value::Float(4.0)),
        ("load.max_open_requests", Value::Integer(60)),
    ];
    let (report, _) = simulate(&shipped_scenario("calm", &changes));
    assert!(
        report
            .remarks
            .iter()
            .any(|remark| remark.contains("arrivals were cut off")),
        "{:?}",
        report.remarks
    );
    assert!(
        report.overall < 0.5 && report.violations.is_empty(),
        "{report}"
    );
}

#[test]
fn slow_servers_reduce_service() {
    let (calm, _) = simulate(&shipped_scenario("calm", &[]));
    let fault = r#"
[[fault]]
kind = "slow"
at_s = 5.0
for_s = 25.0
target_share = 0.5
factor = 8.0
"#;
    let (slow, _) = simulate(&shipped_scenario_with_fault("calm", fault));
    assert!(
        slow.service < calm.service - 0.02,
        "{} {}",
        slow.service,
        calm.service
    );
}
