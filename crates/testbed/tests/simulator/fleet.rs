//! Scenarios of large fleets: rules, and bounds on what each server bears.

use arrowstand_testbed::simulator;
use toml::Value;

use super::support::{assert_bounds, assert_ends_every_arrival, assert_keeps_rules, scenario};

/// What the fleet costs, at the size of `docs/fleet.md`: a bound on each server's handshakes and
/// health checks a second.
#[test]
fn scenarios_of_a_large_fleet_keep_the_rules_and_spare_each_server() {
    let bounds = [
        ("handshakes_most", 15.0),
        ("probes_most", 8.0),
        ("connections_most", 65.0),
    ];
    for name in ["fleet-herd", "fleet-zone", "fleet-join"] {
        for seed in [1, 2] {
            let scenario = scenario(name, &[("seed", seed.into())]);
            let (report, _) = simulator::run(&scenario.scenario, None).expect("played");
            let case = format!("{name}, seed {seed}");
            assert_keeps_rules(&report, &case);
            let servers = report.servers_by_number.iter();
            let overloaded = servers.filter(|server| server.overloaded_cold).count();
            assert_eq!(overloaded, 0, "{case}: none is pushed over");
            assert_bounds(&report, &bounds, &case);
        }
    }
}

/// Plays a scenario of the full fleet, and holds it to its bounds.
fn assert_full_size(name: &str, seed: i64, changes: &[(&str, Value)]) {
    let bounds = [
        ("handshakes_most", 20.0),
        ("probes_most", 10.0),
        ("connections_most", 70.0),
    ];
    let changes = [&[("seed", seed.into())], changes].concat();
    let scenario = scenario(name, &changes);
    let (report, _) = simulator::run(&scenario.scenario, None).expect("played");
    let case = format!("{name}, seed {seed}");
    assert_keeps_rules(&report, &case);
    assert_ends_every_arrival(&report, &case);
    assert_bounds(&report, &bounds, &case);
}

const FULL_SIZE: [&str; 5] = [
    "mass-herd",
    "mass-roll",
    "mass-zone",
    "mass-split",
    "mass-join",
];

/// The beginning of each scenario, up to where its faults are at their worst.
#[test]
fn scenarios_of_the_full_fleet_keep_the_rules() {
    std::thread::scope(|scope| {
        for name in FULL_SIZE {
            scope.spawn(move || assert_full_size(name, 1, &[("seconds", 16.0.into())]));
        }
    });
}

#[test]
#[ignore = "too long unoptimised: cargo test --release -p arrowstand-testbed --test simulator -- --ignored"]
fn whole_scenarios_of_the_full_fleet_keep_the_rules_over_seeds() {
    for seed in 1..=4 {
        std::thread::scope(|scope| {
            for name in FULL_SIZE {
                scope.spawn(move || assert_full_size(name, seed, &[]));
            }
        });
    }
}
