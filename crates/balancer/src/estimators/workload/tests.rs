use super::WorkloadEstimator;
use crate::{Idempotency, RequestClass};

fn class(priority_weight: f64) -> RequestClass {
    RequestClass {
        priority_weight,
        ..RequestClass::new(Idempotency::Idempotent, 250_000, 600_000)
    }
}

#[test]
fn request_without_a_hint_counts_as_average() {
    let mut workload = WorkloadEstimator::new();
    assert_eq!(workload.on_request_arrived(&class(1.0), 0.0, 0), 1.0);
    assert_eq!(workload.value_density(7.0, 3.0), 1.0);
}

#[test]
fn large_hint_moves_the_mean_by_a_bounded_amount() {
    let mut workload = WorkloadEstimator::new();
    assert_eq!(workload.on_request_arrived(&class(1.0), 100.0, 0), 1.0);
    // The second hint counts as 4 times the mean, so the mean moves from 100 to 115.
    let relative_work = workload.on_request_arrived(&class(1.0), 1e9, 0);
    assert!((relative_work - 1e9 / 115.0).abs() < 1.0, "{relative_work}");
}

#[test]
fn value_density_rises_with_priority_and_falls_with_work() {
    let mut workload = WorkloadEstimator::new();
    workload.on_request_arrived(&class(2.0), 100.0, 0);
    assert_eq!(workload.value_density(2.0, 1.0), 1.0);
    assert_eq!(workload.value_density(4.0, 1.0), 2.0);
    assert_eq!(workload.value_density(2.0, 4.0), 0.25);
}

#[test]
fn request_rate_decays_and_stays_above_zero() {
    let mut workload = WorkloadEstimator::new();
    for _ in 0..100 {
        workload.on_request_arrived(&class(1.0), 0.0, 0);
    }
    assert!(workload.request_rate(0) > 1.9 * workload.request_rate(5_000_000));
    assert!(workload.request_rate(u64::MAX) > 0.0);
}
