//! Random choice by weight.

#[cfg(test)]
mod tests;

/// Position of one of the weights, each drawn as often as its share of the sum; the last one where
/// rounding leaves none. `None` where there are no weights. Draws one random number in any case.
pub(crate) fn weighted_choice(weights: &[f64], rng: &mut fastrand::Rng) -> Option<usize> {
    let mut remaining = rng.f64() * weights.iter().sum::<f64>();
    let drawn = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    drawn.or_else(|| weights.len().checked_sub(1))
}
