use super::FleetErrorRate;

#[test]
fn run_of_failures_is_improbable_where_failures_are_rare() {
    let rare = FleetErrorRate::default();
    assert!(rare.failure_run_surprisal(2) > 9.0 && rare.failure_run_surprisal(1) < 9.0);
}

#[test]
fn run_of_failures_is_less_improbable_where_the_fleet_fails_and_recovers_with_it() {
    let mut errors = FleetErrorRate::default();
    (0..100).for_each(|_| errors.on_first_failure());
    assert!(errors.failure_run_surprisal(5) < 9.0);
    (0..1_000).for_each(|_| errors.on_served());
    assert!(errors.failure_run_surprisal(2) > 9.0);
}
