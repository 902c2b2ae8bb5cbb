use super::weighted_choice;

#[test]
fn returns_none_without_weights() {
    assert_eq!(weighted_choice(&[], &mut fastrand::Rng::with_seed(1)), None);
}

#[test]
fn draws_indices_in_proportion_to_their_weights() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut counts = [0_u32; 3];
    for _ in 0..8_000 {
        counts[weighted_choice(&[1.0, 2.0, 1.0], &mut rng).expect("weights")] += 1;
    }
    assert!(
        (1_800..2_200).contains(&counts[0]) && (3_800..4_200).contains(&counts[1]),
        "{counts:?}"
    );
}

#[test]
fn returns_the_last_index_if_all_weights_are_zero() {
    assert_eq!(
        weighted_choice(&[0.0, 0.0], &mut fastrand::Rng::with_seed(1)),
        Some(1)
    );
}
