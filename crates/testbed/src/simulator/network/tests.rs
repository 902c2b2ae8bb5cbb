//! Tests of delays by zone and of the noise of attempts' work.

use super::Network;
use crate::index::{ClassIndex, SidecarIndex};
use crate::scenario::{self, Class, Scenario};

const CLASS: ClassIndex = ClassIndex::new(0);

/// A scenario of two zones with a sidecar in each, and a class whose work varies by `noise`.
fn scenario(jitter: f64, noise: f64) -> Scenario {
    let class = Class {
        noise,
        ..Class::default()
    };
    Scenario {
        network: scenario::Network {
            zones: vec!["a".into(), "b".into()],
            same_ms: 0.5,
            cross_ms: 4.0,
            jitter,
            ..scenario::Network::default()
        },
        sidecars: scenario::Sidecars {
            count: 2,
            ..scenario::Sidecars::default()
        },
        class: vec![class],
        ..Scenario::default()
    }
}

#[test]
fn a_cross_zone_delay_is_longer() {
    let scenario = scenario(0.0, 0.0);
    let mut network = Network::new(&scenario);
    let sidecar = SidecarIndex::new(1);

    assert!(network.is_cross_zone(sidecar, 0));
    assert!(!network.is_cross_zone(sidecar, 1));
    assert_eq!(network.draw_delay(sidecar, 0, &scenario), 4_000);
    assert_eq!(network.draw_delay(sidecar, 1, &scenario), 500);
}

#[test]
fn jitter_lengthens_a_delay_by_at_most_its_share() {
    let scenario = scenario(0.2, 0.0);
    let mut network = Network::new(&scenario);
    let sidecar = SidecarIndex::new(0);

    let delays: Vec<_> = (0..200)
        .map(|_| network.draw_delay(sidecar, 0, &scenario))
        .collect();

    assert!(delays.iter().all(|delay| (500..=600).contains(delay)));
    assert!(delays.iter().any(|delay| *delay > 550));
}

#[test]
fn sidecars_draw_from_independent_random_streams() {
    let scenario = scenario(0.2, 0.0);
    let mut alone = Network::new(&scenario);
    let mut shared = Network::new(&scenario);

    shared.draw_delay(SidecarIndex::new(1), 0, &scenario);

    let sidecar = SidecarIndex::new(0);
    let expected = alone.draw_delay(sidecar, 0, &scenario);
    assert_eq!(shared.draw_delay(sidecar, 0, &scenario), expected);
}

#[test]
fn attempt_work_differs_from_request_work_only_with_noise() {
    let sidecar = SidecarIndex::new(0);
    let draw = |noise| {
        let scenario = scenario(0.0, noise);
        Network::new(&scenario).draw_attempt_work(sidecar, CLASS, 1_000.0, &scenario)
    };

    assert!((draw(0.0) - 1_000.0).abs() < f64::EPSILON);
    let noisy = draw(0.5);
    assert!(noisy > 0.0 && (noisy - 1_000.0).abs() > 1.0, "{noisy}");
}
