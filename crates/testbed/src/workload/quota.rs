//! The tenants' quotas, which decide how much an arrival is worth.
//!
//! Owns the token buckets; what an arrival beyond its quota counts for is known by `statistics`.

use crate::conversion::s_from_micros;
use crate::scenario::{Micros, Scenario};

/// A tenant's quota: a token bucket, filled at the tenant's share of what all tenants are entitled
/// to.
#[derive(Clone, Copy, Debug)]
pub struct TenantQuota {
    /// Tokens a second.
    rate: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TenantQuota {
    /// A full bucket; `rate` in requests a second.
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate.max(1.0),
            refilled_at: 0,
        }
    }

    /// Takes a token; false for what lies beyond the quota.
    pub fn try_take(&mut self, now: Micros) -> bool {
        let passed_s = s_from_micros(now.saturating_sub(self.refilled_at));
        self.tokens = (self.tokens + passed_s * self.rate).min(self.rate.max(1.0));
        self.refilled_at = now;
        let within_quota = self.tokens >= 1.0;
        self.tokens -= if within_quota { 1.0 } else { 0.0 };
        within_quota
    }
}

/// One quota for each tenant, full at the start.
pub fn quotas(scenario: &Scenario) -> Vec<TenantQuota> {
    let all = scenario.capacity_rate() * scenario.rules.quota_of_capacity;
    let tenants = scenario.tenant.iter();
    tenants
        .map(|tenant| TenantQuota::new(tenant.share * all))
        .collect()
}
