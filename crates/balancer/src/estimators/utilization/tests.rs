use super::UtilizationEstimator;

#[test]
fn utilization_counts_servers_with_requests_not_requests() {
    let mut utilization = UtilizationEstimator::new();
    (0..200).for_each(|_| utilization.on_load_report(9.0));
    assert!((utilization.utilization() - 1.0).abs() < 1e-3);
    assert!(utilization.fullness() > 0.99);
}

#[test]
fn fleet_that_is_half_idle_is_not_filling_up() {
    assert_eq!(UtilizationEstimator::new().fullness(), 0.0);
}
