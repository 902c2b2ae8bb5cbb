//! Weighted random selection.

#[cfg(test)]
mod tests;

/// Returns an index with a probability proportional to its weight, or `None` if `weights` is empty.
/// Returns the last index if rounding leaves none or all weights are zero. Always draws exactly one
/// random number.
pub(crate) fn weighted_choice(weights: &[f64], rng: &mut fastrand::Rng) -> Option<usize> {
    let mut remaining = rng.f64() * weights.iter().sum::<f64>();
    let drawn = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    drawn.or_else(|| weights.len().checked_sub(1))
}
