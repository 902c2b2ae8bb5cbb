use super::ServerLoad;

#[test]
fn health_check_report_counts_requests_of_other_balancers() {
    let mut load = ServerLoad::default();
    load.on_health_check_report(5.0, 2.0, 1_000);
    assert_eq!(
        (load.in_flight_from_others(1.0), load.updated_at()),
        (3.0, 1_000)
    );
    load.on_health_check_report(1.0, 2.0, 2_000);
    assert_eq!(load.in_flight_from_others(1.0), 0.0);
}

#[test]
fn response_reports_are_averaged_over_time() {
    let mut load = ServerLoad::default();
    load.on_response_report(8.0, 0.0, 3_000_000);
    assert_eq!(load.in_flight_from_others(1.0), 4.0);
    load.on_response_report(8.0, 0.0, 6_000_000);
    assert_eq!(load.in_flight_from_others(0.5), 3.0);
}

#[test]
fn rejection_raises_the_load_and_restart_clears_it() {
    let mut load = ServerLoad::default();
    load.on_rejected(6.0, 10);
    assert_eq!(load.in_flight_from_others(1.0), 7.0);
    load.on_rejected(2.0, 20);
    assert_eq!(
        (load.in_flight_from_others(1.0), load.updated_at()),
        (7.0, 20)
    );
    load.on_restarted();
    assert_eq!(load.in_flight_from_others(1.0), 0.0);
}
