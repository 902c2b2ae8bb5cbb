use super::{LatencyDistribution, normal_tail_surprisal};

#[test]
fn tail_surprisal_approximates_the_normal_distribution() {
    // Negative natural logarithms of the upper tail probability of a standard normal variable.
    for (z, expected) in [
        (0.0, 0.693),
        (1.0, 1.841),
        (2.0, 3.783),
        (3.0, 6.607),
        (5.0, 15.065),
    ] {
        let surprisal = normal_tail_surprisal(z);
        assert!(
            (surprisal / expected - 1.0).abs() < 0.06,
            "{z}: {surprisal}"
        );
    }
}

#[test]
fn tail_surprisal_falls_once_the_fleet_is_slow() {
    let mut latencies = LatencyDistribution::new(200_000.0);
    (0..200).for_each(|_| latencies.on_response(50_000.0));
    let before = latencies.tail_surprisal(400_000.0);
    (0..200).for_each(|_| latencies.on_response(400_000.0));
    assert!(before > 14.0 && latencies.tail_surprisal(400_000.0) < 1.0);
}
