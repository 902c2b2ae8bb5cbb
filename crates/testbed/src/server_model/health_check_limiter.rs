//! Rate limit on the health checks that a server answers: a token bucket, whose rate is a setting
//! of the machine type.

use crate::conversion::s_from_micros;
use crate::scenario::Micros;

/// A token bucket with one token per health check. Its capacity is the tokens of one second, but at
/// least one.
#[derive(Debug)]
pub(super) struct HealthCheckLimiter {
    tokens: f64,
    refilled_at: Micros,
}

impl HealthCheckLimiter {
    /// A bucket with the tokens of one second; `rate` is in health checks per second.
    pub(super) fn new(rate: f64, now: Micros) -> Self {
        Self {
            tokens: rate,
            refilled_at: now,
        }
    }

    /// Takes a token for a health check; returns false if none is left. A rate of 0 means no limit.
    pub(super) fn try_acquire(&mut self, rate: f64, now: Micros) -> bool {
        if rate <= 0.0 {
            return true;
        }
        let elapsed_s = s_from_micros(now.saturating_sub(self.refilled_at));
        self.tokens = (self.tokens + elapsed_s * rate).min(rate.max(1.0));
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
