//! Exponential decay with time, and rates averaged by it.

use std::f64::consts::LN_2;

use crate::Micros;

/// Fraction of a value recorded at `since` that remains at `now`; it halves every `half_life`
/// (microseconds).
pub(crate) fn decay_factor(now: Micros, since: Micros, half_life: f64) -> f64 {
    0.5_f64.powf(now.saturating_sub(since) as f64 / half_life)
}

/// An amount per microsecond, averaged with exponential decay.
pub(crate) struct DecayingRate {
    half_life: f64,
    amount: f64,
    updated_at: Micros,
}

impl DecayingRate {
    /// Creates a rate of zero whose past amounts halve every `half_life` (microseconds).
    pub(crate) fn new(half_life: f64) -> Self {
        Self {
            half_life,
            amount: 0.0,
            updated_at: 0,
        }
    }

    /// Adds an amount at time `now`.
    pub(crate) fn add(&mut self, amount: f64, now: Micros) {
        self.amount = amount + self.decayed_amount(now);
        self.updated_at = now;
    }

    /// Returns the rate per microsecond.
    pub(crate) fn per_microsecond(&self, now: Micros) -> f64 {
        self.decayed_amount(now) * LN_2 / self.half_life
    }

    fn decayed_amount(&self, now: Micros) -> f64 {
        self.amount * decay_factor(now, self.updated_at, self.half_life)
    }
}
