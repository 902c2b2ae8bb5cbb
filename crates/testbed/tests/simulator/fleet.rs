//! Scenarios of large fleets: no rule is violated, and the load on each server stays within bounds.

use arrowstand_testbed::simulator;
use toml::Value;

use super::support::{
    assert_every_arrival_ends, assert_figures_within_bounds, assert_no_violations, shipped_scenario,
};

/// Bounds each server's connections, and its handshakes and health checks per second, in a fleet
/// of the size in `docs/fleet.md`.
#[test]
fn scenarios_of_a_large_fleet_violate_no_rule_and_keep_each_server_within_bounds() {
    let bounds = [
        ("handshakes_max", 15.0),
        ("health_checks_max", 8.0),
        ("connections_max", 65.0),
    ];
    for name in ["fleet-herd", "fleet-zone", "fleet-join"] {
        for seed in [1, 2] {
            let scenario = shipped_scenario(name, &[("seed", seed.into())]);
            let (report, _) =
                simulator::run(&scenario.scenario, None).expect("the simulation runs");
            let case = format!("{name}, seed {seed}");
            assert_no_violations(&report, &case);
            let servers = report.servers_by_number.iter();
            let overloaded = servers.filter(|server| server.overloaded_cold).count();
            assert_eq!(overloaded, 0, "{case}: servers overloaded while cold");
            assert_figures_within_bounds(&report, &bounds, &case);
        }
    }
}

/// Simulates a scenario of the full fleet; asserts the rules and the bounds on each server.
fn assert_full_fleet_within_bounds(name: &str, seed: i64, changes: &[(&str, Value)]) {
    let bounds = [
        ("handshakes_max", 20.0),
        ("health_checks_max", 10.0),
        ("connections_max", 70.0),
    ];
    let changes = [&[("seed", seed.into())], changes].concat();
    let scenario = shipped_scenario(name, &changes);
    let (report, _) = simulator::run(&scenario.scenario, None).expect("the simulation runs");
    let case = format!("{name}, seed {seed}");
    assert_no_violations(&report, &case);
    assert_every_arrival_ends(&report, &case);
    assert_figures_within_bounds(&report, &bounds, &case);
}

const FULL_FLEET_SCENARIOS: [&str; 5] = [
    "mass-herd",
    "mass-roll",
    "mass-zone",
    "mass-split",
    "mass-join",
];

/// Simulates the first 16 s of each scenario, which include the peak of its faults.
#[test]
fn first_16_s_of_full_fleet_scenarios_violate_no_rule() {
    std::thread::scope(|scope| {
        for name in FULL_FLEET_SCENARIOS {
            scope.spawn(move || {
                assert_full_fleet_within_bounds(name, 1, &[("seconds", 16.0.into())]);
            });
        }
    });
}

/// Takes too long in a build without optimisation.
#[test]
#[ignore = "too slow: use cargo test --release -p arrowstand-testbed --test simulator -- --ignored"]
fn whole_full_fleet_scenarios_violate_no_rule_with_four_seeds() {
    for seed in 1..=4 {
        std::thread::scope(|scope| {
            for name in FULL_FLEET_SCENARIOS {
                scope.spawn(move || assert_full_fleet_within_bounds(name, seed, &[]));
            }
        });
    }
}
