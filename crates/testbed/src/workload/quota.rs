//! Token buckets for the tenants' quotas.
//!
//! Decides whether an arrival is within its tenant's quota; `statistics` applies the weight of an
//! arrival over its quota.

use crate::conversion::s_from_micros;
use crate::scenario::{Micros, Scenario};

/// A tenant's quota: a token bucket, refilled at the tenant's share of the total quota.
#[derive(Clone, Copy, Debug)]
pub struct TenantQuota {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TenantQuota {
    /// A full bucket; `rate` is in requests per second.
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate.max(1.0),
            refilled_at: 0,
        }
    }

    /// Takes a token; returns false if none is left, that is, if the request is over the quota.
    pub fn try_acquire(&mut self, now: Micros) -> bool {
        let elapsed_s = s_from_micros(now.saturating_sub(self.refilled_at));
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate.max(1.0));
        self.refilled_at = now;
        let within_quota = self.tokens >= 1.0;
        self.tokens -= if within_quota { 1.0 } else { 0.0 };
        within_quota
    }
}

/// The quota of each tenant; every bucket is full at the start.
pub fn tenant_quotas(scenario: &Scenario) -> Vec<TenantQuota> {
    let total_rate = scenario.capacity_rate() * scenario.rules.quota_of_capacity;
    let tenants = scenario.tenant.iter();
    tenants
        .map(|tenant| TenantQuota::new(tenant.share * total_rate))
        .collect()
}
