//! Deployments where responses carry load reports, requests carry work hints and late responses
//! keep some value.

mod emulated_fleet;

use crate::common::{MS, endpoint, endpoint_changed, settings};
use arrowstand_balancer::{
    Endpoint, Fees, HostCapabilities, Micros, ServerId, Settings, SlowStartSettings,
};
use emulated_fleet::Fleet;

/// Settings where responses carry load reports, health checks are too costly for load checks, and a
/// late response keeps a fifth of its value.
fn settings_with_load_reports_in_responses() -> Settings {
    let mut base = settings();
    base.classes
        .iter_mut()
        .for_each(|class| class.late_value = 0.2);
    Settings {
        host: HostCapabilities {
            load_reports_in_health_checks: true,
            load_reports_in_responses: true,
            ..base.host
        },
        fees: Fees {
            health_check: 0.01,
            ..base.fees
        },
        ..base
    }
}

#[test]
fn fleet_recovers_within_2_s_after_a_burst() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(settings_with_load_reports_in_responses(), 6, seed);
        fleet.load(0.6, 10);
        fleet.take_counts();
        fleet.load(2.4, 6);
        let (in_time, late, rejected) = fleet.take_counts();
        assert!(
            rejected > 0 && in_time > 2 * late,
            "during the burst: {in_time} {late} {rejected}"
        );
        fleet.load(0.6, 2);
        fleet.take_counts();
        fleet.load(0.6, 5);
        let (in_time, late, rejected) = fleet.take_counts();
        assert!(
            in_time > 20 * (late + rejected),
            "after the burst: {in_time} {late} {rejected}"
        );
    }
}

#[test]
fn fleet_below_capacity_serves_nearly_all_requests_in_time() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(settings_with_load_reports_in_responses(), 6, seed);
        fleet.load(0.7, 15);
        let (in_time, late, rejected) = fleet.take_counts();
        assert!(
            rejected * 100 < in_time && late * 50 < in_time,
            "{in_time} {late} {rejected}"
        );
    }
}

fn settings_with_long_slow_start() -> Settings {
    let base = settings_with_load_reports_in_responses();
    Settings {
        slow_start: SlowStartSettings {
            initial_capacity: 0.2,
            duration: 16_000 * MS,
            ..base.slow_start
        },
        ..base
    }
}

/// All servers restart at the same time at 80 % load. Once per second a request arrives that has
/// about as much work as one server may be sent within the overload window at first.
#[test]
fn servers_are_not_overloaded_if_all_are_in_slow_start_at_once() {
    for seed in 0..6 {
        let settings = settings_with_long_slow_start();
        let slow_start = settings.slow_start;
        let mut fleet = Fleet::new(settings, 6, seed);
        fleet.load(0.8, 10);
        let started_at = fleet.driver.now;
        for n in 0..fleet.servers.len() as u32 {
            fleet.driver.handle(endpoint_changed(Endpoint {
                incarnation: Some(started_at),
                ..endpoint(n)
            }));
        }
        let slow_start_factor =
            |at: Micros| 0.2 + 0.8 * (at - started_at) as f64 / (16_000 * MS) as f64;
        fleet.sends.clear();
        for _ in 0..8 {
            let speed = slow_start_factor(fleet.driver.now);
            for server in &mut fleet.servers {
                server.speed = speed;
            }
            fleet.arrive(1_450.0);
            fleet.load(0.3, 1);
        }
        for (at, server, _) in &fleet.sends {
            let within = |send: &&(Micros, ServerId, f64)| {
                send.1 == *server && (*at..at + slow_start.overload_window).contains(&send.0)
            };
            let sent: f64 = fleet.sends.iter().filter(within).map(|send| send.2).sum();
            let max_work = slow_start.overload_factor
                * 2.0
                * slow_start_factor(*at)
                * slow_start.overload_window as f64
                / 1_000.0;
            assert!(
                sent <= max_work,
                "seed {seed}, {} ms after the restart: {sent} of at most {max_work} ms of work",
                (at - started_at) / MS
            );
        }
    }
}

/// A quarter of the requests has a wrong work hint: far too low, far too high or missing, in one
/// run each.
#[test]
fn most_requests_are_served_in_time_despite_wrong_or_missing_work_hints() {
    for wrong in [Some(1), Some(60_000_000), None] {
        let mut fleet = Fleet::new(settings_with_load_reports_in_responses(), 6, 3);
        let mut rng = fastrand::Rng::with_seed(9);
        for _ in 0..15 * 200 {
            // Six servers with two cores each do 60 ms of work in 5 ms. A request takes 40 ms.
            if rng.f64() < 0.6 * 60.0 / 40.0 {
                let hint = if rng.f64() < 0.25 {
                    wrong
                } else {
                    Some(40_000)
                };
                fleet.arrive_with_work_hint(40.0, hint);
            }
            fleet.step();
        }
        let (in_time, late, rejected) = fleet.take_counts();
        assert!(
            in_time > 2 * (late + rejected),
            "{wrong:?}: {in_time} {late} {rejected}"
        );
    }
}
