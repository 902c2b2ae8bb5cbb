use super::FleetErrorRate;

#[test]
fn run_of_failures_is_improbable_where_failures_are_rare() {
    let rare = FleetErrorRate::default();
    assert!(rare.run_improbability(2) > 9.0 && rare.run_improbability(1) < 9.0);
}

#[test]
fn run_of_failures_is_less_improbable_where_the_fleet_fails_and_recovers_with_it() {
    let mut errors = FleetErrorRate::default();
    (0..100).for_each(|_| errors.on_first_failure());
    assert!(errors.run_improbability(5) < 9.0);
    (0..1_000).for_each(|_| errors.on_served());
    assert!(errors.run_improbability(2) > 9.0);
}
