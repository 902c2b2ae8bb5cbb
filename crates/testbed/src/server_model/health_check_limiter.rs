//! The rate limit on the health checks that a server answers.
//!
//! Owns the token bucket; the rate is the machine type's.

use crate::conversion::s_from_micros;
use crate::scenario::Micros;

/// A token bucket, one token for each health check: it holds those of a second, and one at least.
#[derive(Debug)]
pub(super) struct HealthCheckLimiter {
    tokens: f64,
    refilled_at: Micros,
}

impl HealthCheckLimiter {
    /// A full bucket; `rate` in health checks a second.
    pub(super) fn new(rate: f64, now: Micros) -> Self {
        Self {
            tokens: rate,
            refilled_at: now,
        }
    }

    /// Whether a health check is answered; without a rate all are.
    pub(super) fn try_acquire(&mut self, rate: f64, now: Micros) -> bool {
        if rate <= 0.0 {
            return true;
        }
        let passed_s = s_from_micros(now.saturating_sub(self.refilled_at));
        self.tokens = (self.tokens + passed_s * rate).min(rate.max(1.0));
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
