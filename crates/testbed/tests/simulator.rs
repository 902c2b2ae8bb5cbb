//! The model: the same bytes for a seed, the rules kept, and its hard cases.

use arrowstand_testbed::event_log::{LogEvent, LogRecord, RequestOutcome};
use arrowstand_testbed::report::Report;
use arrowstand_testbed::scenario::ScenarioFile;
use arrowstand_testbed::simulator;

fn day(name: &str, changes: &[(&str, toml::Value)]) -> ScenarioFile {
    let path = format!("{}/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let scenario = ScenarioFile::open(path.as_ref()).unwrap_or_else(|f| panic!("{f}"));
    let changes: Vec<_> = changes
        .iter()
        .map(|(k, v)| ((*k).to_owned(), v.clone()))
        .collect();
    scenario.with(&changes).unwrap_or_else(|f| panic!("{f}"))
}

fn play(scenario: &ScenarioFile) -> (Report, Vec<LogRecord>) {
    let mut record = Vec::new();
    let (report, _) = simulator::run(&scenario.day, Some(&mut record)).expect("played");
    (report, record)
}

fn bytes(scenario: &ScenarioFile) -> String {
    serde_json::to_string(&simulator::run(&scenario.day, None).expect("played").0).expect("written")
}

#[test]
fn a_festival_day_gives_the_same_bytes_for_a_seed_and_others_for_another() {
    let first = day("festival", &[]);
    let said = bytes(&first);
    assert_eq!(said, bytes(&first));
    assert_ne!(said, bytes(&day("festival", &[("seed", 2.into())])));
}

#[test]
fn a_further_job_server_does_not_reshuffle_arrivals() {
    let asked = |more: i64| -> Vec<LogRecord> {
        let scenario = day(
            "calm",
            &[
                ("seconds", 5.0.into()),
                ("load.rate", 200.0.into()),
                ("servers[0].count", more.into()),
            ],
        );
        play(&scenario)
            .1
            .into_iter()
            .filter(|l| matches!(l.event, LogEvent::ArrivalStarted { .. }))
            .collect()
    };
    let key = |l: &LogRecord| match l.event {
        LogEvent::ArrivalStarted {
            sidecar,
            class,
            tenant: shop,
            ..
        } => (l.at, sidecar, class, shop),
        _ => unreachable!(),
    };
    let (few, many) = (asked(6), asked(7));
    assert!(few.len() > 500);
    assert_eq!(
        few.iter().map(key).collect::<Vec<_>>(),
        many.iter().map(key).collect::<Vec<_>>()
    );
}

#[test]
fn each_shipped_day_keeps_the_rules() {
    for name in [
        "calm",
        "cold-return",
        "rolling-restart",
        "restart-all",
        "brim",
        "try",
    ] {
        let (report, _) = play(&day(name, &[]));
        assert_eq!(report.violations, Vec::<String>::new(), "{name}");
        let ended: u64 = report
            .classes
            .iter()
            .flat_map(|c| &c.ended)
            .map(|e| e.1)
            .sum();
        assert_eq!(ended, report.arrivals, "{name}: every wish comes to an end");
    }
}

/// The kind of site where answers alone tell of load: machines that share their cores, hints, late worth, retries.
/// Judged as where nothing tells, they come to 0.33 and 0.26 of the service (seed 1).
#[test]
fn days_where_answers_tell_of_load_keep_the_rules_and_are_served() {
    for (name, least) in [("consulta-burst", 0.65), ("consulta-roll", 0.7)] {
        for seed in 1..=4 {
            let (report, _) = play(&day(name, &[("seed", seed.into())]));
            assert_eq!(
                report.violations,
                Vec::<String>::new(),
                "{name}, seed {seed}"
            );
            assert!(
                report.service > least,
                "{name}, seed {seed}: {}",
                report.service
            );
        }
    }
}

#[test]
fn a_job_server_that_falls_silent_mid_request_loses_nothing_that_is_owed() {
    let trouble = r#"
[[fault]]
kind = "silence"
at_s = 3.0
for_s = 4.0
servers = ["s0"]
"#;
    let text = include_str!("../scenarios/try.toml");
    let scenario = ScenarioFile::read("silent", &format!("{text}{trouble}")).expect("good");
    let (report, record) = play(&scenario);
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(record.iter().any(|l| matches!(
        l.event,
        LogEvent::ResponseReceived {
            outcome: RequestOutcome::Failed,
            ..
        }
    )));
    // Nothing ran there while it was away.
    let ran = |l: &&LogRecord| {
        matches!(l.event, LogEvent::WorkDone { server: 0, .. })
            && (3_000_000..7_000_000).contains(&l.at)
    };
    assert_eq!(record.iter().filter(ran).count(), 0);
}

#[test]
fn sidecars_restarted_while_job_servers_are_slow_keep_the_rules() {
    let changes = [
        ("fault[0].at_s", toml::Value::Float(5.0)),
        ("fault[3].at_s", toml::Value::Float(8.0)),
        ("fault[3].for_s", toml::Value::Float(8.0)),
        ("seconds", toml::Value::Float(101.0)),
    ];
    let (report, record) = play(&day("festival", &changes));
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(record.iter().any(|l| matches!(
        l.event,
        LogEvent::ResponseReceived {
            outcome: RequestOutcome::ConnectionLost,
            ..
        }
    )));
}

#[test]
fn an_overload_is_bounded_and_reported() {
    let changes = [
        ("load.rate", toml::Value::Float(5_000.0)),
        ("seconds", toml::Value::Float(4.0)),
        ("load.open_most", toml::Value::Integer(60)),
    ];
    let (report, _) = play(&day("calm", &changes));
    assert!(
        report.remarks.iter().any(|r| r.contains("choked off")),
        "{:?}",
        report.remarks
    );
    assert!(
        report.overall < 0.5 && report.violations.is_empty(),
        "{report}"
    );
}

#[test]
fn costly_requests_and_slow_machines_cost_service() {
    let calm = play(&day("calm", &[])).0;
    let trouble = r#"
[[fault]]
kind = "slow"
at_s = 5.0
for_s = 25.0
part = 0.5
factor = 8.0
"#;
    let text = std::fs::read_to_string(format!(
        "{}/scenarios/calm.toml",
        env!("CARGO_MANIFEST_DIR")
    ))
    .expect("there");
    let slow = play(&ScenarioFile::read("slow", &format!("{text}{trouble}")).expect("good")).0;
    assert!(
        slow.service < calm.service - 0.02,
        "{} {}",
        slow.service,
        calm.service
    );
}

/// What the fleet costs, at the size of `docs/fleet.md`: a bound on each job server's handshakes and probes a second.
#[test]
fn days_of_a_large_fleet_keep_the_rules_and_spare_each_job_server() {
    for name in ["fleet-herd", "fleet-zone", "fleet-join"] {
        for seed in [1, 2] {
            let (report, _) =
                simulator::run(&day(name, &[("seed", seed.into())]).day, None).expect("played");
            assert_eq!(
                report.violations,
                Vec::<String>::new(),
                "{name}, seed {seed}"
            );
            assert_eq!(
                report
                    .servers_by_number
                    .iter()
                    .filter(|s| s.overloaded_cold)
                    .count(),
                0,
                "{name}: none is pushed over"
            );
            for (figure, most) in [
                ("handshakes_most", 15.0),
                ("probes_most", 8.0),
                ("connections_most", 65.0),
            ] {
                let seen = report.figure(figure).expect("known");
                assert!(seen <= most, "{name}, seed {seed}: {figure} {seen}");
            }
        }
    }
}

fn full_size(name: &str, seed: i64, changes: &[(&str, toml::Value)]) {
    let changes = [&[("seed", seed.into())], changes].concat();
    let (report, _) = simulator::run(&day(name, &changes).day, None).expect("played");
    assert_eq!(
        report.violations,
        Vec::<String>::new(),
        "{name}, seed {seed}"
    );
    let ended: u64 = report
        .classes
        .iter()
        .flat_map(|c| &c.ended)
        .map(|e| e.1)
        .sum();
    assert_eq!(
        ended, report.arrivals,
        "{name}, seed {seed}: every wish comes to an end"
    );
    for (figure, most) in [
        ("handshakes_most", 20.0),
        ("probes_most", 10.0),
        ("connections_most", 70.0),
    ] {
        let seen = report.figure(figure).expect("known");
        assert!(seen <= most, "{name}, seed {seed}: {figure} {seen}");
    }
}

const FULL_SIZE: [&str; 5] = [
    "mass-herd",
    "mass-roll",
    "mass-zone",
    "mass-split",
    "mass-join",
];

/// The beginning of each day, up to where its troubles are at their worst.
#[test]
fn days_of_the_full_fleet_keep_the_rules() {
    std::thread::scope(|scope| {
        for name in FULL_SIZE {
            scope.spawn(move || full_size(name, 1, &[("seconds", 16.0.into())]));
        }
    });
}

#[test]
#[ignore = "too long unoptimised: cargo test --release -p arrowstand-testbed --test model -- --ignored"]
fn whole_days_of_the_full_fleet_keep_the_rules_over_seeds() {
    for seed in 1..=4 {
        std::thread::scope(|scope| {
            for name in FULL_SIZE {
                scope.spawn(move || full_size(name, seed, &[]));
            }
        });
    }
}
