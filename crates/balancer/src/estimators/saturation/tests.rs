use super::SaturationEstimator;

#[test]
fn saturation_follows_responses_and_decays_by_half_in_its_half_life() {
    let mut saturation = SaturationEstimator::default();
    (0..200).for_each(|_| saturation.on_response(0.5, 0));
    assert!((saturation.saturation(0) - 0.5).abs() < 1e-6);
    assert!((saturation.saturation(3_000_000) - 0.25).abs() < 1e-6);
}

#[test]
fn rejection_counts_as_the_whole_objective() {
    let (mut rejected, mut slow) = (
        SaturationEstimator::default(),
        SaturationEstimator::default(),
    );
    rejected.on_rejected(5);
    slow.on_response(1.0, 5);
    assert_eq!(rejected.saturation(5), slow.saturation(5));
}
