use super::{LatencyEstimator, ServerLatency};
use crate::MachineType;

const MACHINE: MachineType = MachineType {
    id: 3,
    cores: 1.0,
    speed: 0.5,
};

#[test]
fn machine_type_without_responses_uses_its_configured_speed() {
    assert_eq!(
        LatencyEstimator::new(80_000.0).machine_latency_factor(MACHINE),
        2.0
    );
}

#[test]
fn slow_response_raises_the_factors_of_server_and_machine_type() {
    let mut estimator = LatencyEstimator::new(80_000.0);
    let (mut server, other) = (ServerLatency::new(MACHINE), ServerLatency::new(MACHINE));
    let initial = estimator.machine_latency_factor(MACHINE);
    // A service time of 30 ms against a mean of 10 ms.
    estimator.on_response(&mut server, MACHINE, initial, 30_000.0, 1_000);
    let raised = estimator.machine_latency_factor(MACHINE);
    assert!(raised > initial && estimator.latency_factor(&server, raised, 1_000) > raised);
    assert!(estimator.latency_factor(&other, raised, 20_000_000) > initial);
    assert!(estimator.mean_service_time() > 10_000.0);
}

#[test]
fn factor_of_a_server_decays_to_that_of_its_machine_type() {
    let mut estimator = LatencyEstimator::new(80_000.0);
    let mut server = ServerLatency::new(MACHINE);
    estimator.on_response(&mut server, MACHINE, 2.0, 40_000.0, 0);
    let factors = [0, 3_000_000, 60_000_000].map(|now| estimator.latency_factor(&server, 2.0, now));
    assert!(
        factors[0] > factors[1] && factors[1] > factors[2] && factors[2] < 2.001,
        "{factors:?}"
    );
}
