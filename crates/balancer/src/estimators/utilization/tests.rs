use super::UtilizationEstimator;

#[test]
fn utilization_counts_busy_servers_and_not_requests() {
    let mut utilization = UtilizationEstimator::new();
    (0..200).for_each(|_| utilization.on_load_report(9.0));
    assert!((utilization.utilization() - 1.0).abs() < 1e-3);
    assert!(utilization.fullness() > 0.99);
}

#[test]
fn fullness_is_zero_at_half_utilization() {
    assert_eq!(UtilizationEstimator::new().fullness(), 0.0);
}
