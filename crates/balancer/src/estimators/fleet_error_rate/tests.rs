use super::FleetErrorRate;

#[test]
fn consecutive_failure_surprisal_is_high_when_failures_are_rare() {
    let rare = FleetErrorRate::default();
    assert!(
        rare.consecutive_failure_surprisal(2) > 9.0 && rare.consecutive_failure_surprisal(1) < 9.0
    );
}

#[test]
fn consecutive_failure_surprisal_falls_while_the_fleet_fails_and_then_recovers() {
    let mut errors = FleetErrorRate::default();
    (0..100).for_each(|_| errors.on_first_failure());
    assert!(errors.consecutive_failure_surprisal(5) < 9.0);
    (0..1_000).for_each(|_| errors.on_served());
    assert!(errors.consecutive_failure_surprisal(2) > 9.0);
}
