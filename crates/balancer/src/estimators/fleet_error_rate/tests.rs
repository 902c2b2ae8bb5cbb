use super::FleetErrorRate;

#[test]
fn failure_run_surprisal_is_high_when_failures_are_rare() {
    let rare = FleetErrorRate::default();
    assert!(rare.failure_run_surprisal(2) > 9.0 && rare.failure_run_surprisal(1) < 9.0);
}

#[test]
fn failure_run_surprisal_falls_while_the_fleet_fails_and_then_recovers() {
    let mut errors = FleetErrorRate::default();
    (0..100).for_each(|_| errors.on_first_failure());
    assert!(errors.failure_run_surprisal(5) < 9.0);
    (0..1_000).for_each(|_| errors.on_served());
    assert!(errors.failure_run_surprisal(2) > 9.0);
}
