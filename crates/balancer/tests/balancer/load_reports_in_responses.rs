//! Deployments where responses tell of load, requests tell of their work and late responses keep
//! some value.

mod emulated_fleet;

use crate::common::{MS, endpoint, endpoint_changed, settings};
use arrowstand_balancer::{
    Endpoint, Fees, HostCapabilities, Micros, ServerId, Settings, SlowStartSettings,
};
use emulated_fleet::Fleet;

/// No load checks before a send; a late response keeps a fifth of its value.
fn settings_with_load_in_responses() -> Settings {
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
fn burst_leaves_no_congestion_behind() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(settings_with_load_in_responses(), 6, seed);
        fleet.load(0.6, 10);
        fleet.counts();
        fleet.load(2.4, 6);
        let (in_time, late, rejected) = fleet.counts();
        assert!(
            rejected > 0 && in_time > 2 * late,
            "the burst: {in_time} {late} {rejected}"
        );
        fleet.load(0.6, 2);
        fleet.counts();
        fleet.load(0.6, 5);
        let (in_time, late, rejected) = fleet.counts();
        assert!(
            in_time > 20 * (late + rejected),
            "after it: {in_time} {late} {rejected}"
        );
    }
}

#[test]
fn fleet_with_capacity_rejects_hardly_anything() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(settings_with_load_in_responses(), 6, seed);
        fleet.load(0.7, 15);
        let (in_time, late, rejected) = fleet.counts();
        assert!(
            rejected * 100 < in_time && late * 50 < in_time,
            "{in_time} {late} {rejected}"
        );
    }
}

fn settings_with_long_slow_start() -> Settings {
    let base = settings_with_load_in_responses();
    Settings {
        slow_start: SlowStartSettings {
            initial_capacity: 0.2,
            duration: 16_000 * MS,
            ..base.slow_start
        },
        ..base
    }
}

/// All servers restart at once under full load, and now and then a request is as large as all that
/// one of them may get in the overload window.
#[test]
fn fleet_wholly_in_slow_start_is_not_overloaded() {
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
            for server_model in &mut fleet.servers {
                server_model.speed = speed;
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
                "seed {seed}, {} ms after the start: {sent} of {max_work} ms",
                (at - started_at) / MS
            );
        }
    }
}

/// A quarter of the requests is hinted far too low and a quarter far too high, or not at all.
#[test]
fn wrong_or_missing_work_hints_cause_no_congestion() {
    for wrong in [Some(1), Some(60_000_000), None] {
        let mut fleet = Fleet::new(settings_with_load_in_responses(), 6, 3);
        let mut rng = fastrand::Rng::with_seed(9);
        for _ in 0..15 * 200 {
            // Six servers of two cores do 60 ms of work in 5 ms; a request takes 40.
            if rng.f64() < 0.6 * 60.0 / 40.0 {
                let hint = if rng.f64() < 0.25 {
                    wrong
                } else {
                    Some(40_000)
                };
                fleet.arrive_with_hint(40.0, hint);
            }
            fleet.step();
        }
        let (in_time, late, rejected) = fleet.counts();
        assert!(
            in_time > 2 * (late + rejected),
            "{wrong:?}: {in_time} {late} {rejected}"
        );
    }
}
