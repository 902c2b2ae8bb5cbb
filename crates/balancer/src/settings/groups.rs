//! The settings that one decision or one kind of decision reads alone.

use super::SettingsError;
use crate::time::Micros;

/// Which balancer of the deployment this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalancerIdentity {
    /// Its zone, in the numbering of [`Endpoint::zone`](crate::Endpoint::zone).
    pub zone: u32,
    /// Its number among all balancers, from 0.
    pub index: u32,
    /// How many balancers there are.
    pub count: u32,
}

impl Default for BalancerIdentity {
    fn default() -> Self {
        Self {
            zone: 0,
            index: 0,
            count: 1,
        }
    }
}

/// What the host can do for the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCapabilities {
    /// Attempts can be cancelled.
    pub cancellation: bool,
    /// The health of servers can be checked.
    pub health_checks: bool,
    /// Balancers can send each other messages.
    pub gossip: bool,
    /// Clients receive the Retry-After of a rejection.
    pub retry_after: bool,
    /// Health checks return load reports.
    pub load_reports: bool,
    /// Responses carry load reports too, each as of some time before.
    pub load_reports_in_responses: bool,
}

impl Default for HostCapabilities {
    fn default() -> Self {
        Self {
            cancellation: true,
            health_checks: true,
            gossip: false,
            retry_after: true,
            load_reports: false,
            load_reports_in_responses: false,
        }
    }
}

/// What binds the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Most attempts for one request; above zero.
    pub max_attempts: u32,
    /// A request may have two attempts in flight at once.
    pub hedging: bool,
    /// Longest Retry-After that clients honour, in microseconds.
    pub max_retry_after: Micros,
}

impl RetrySettings {
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        if self.max_attempts == 0 {
            return Err(SettingsError::MaxAttemptsZero);
        }
        Ok(())
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            hedging: true,
            max_retry_after: 1_000_000,
        }
    }
}

/// What the balancer's own traffic costs, as fractions of the deployment's result.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fees {
    /// Fee for one health check per request.
    pub health_check: f64,
    /// Fee for one new connection per request.
    pub handshake: f64,
    /// Fee for a mean of 100 open connections to each server.
    pub connection: f64,
    /// Fee for one attempt per request that crosses zones.
    pub cross_zone: f64,
}

impl Fees {
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        let fees = [
            self.health_check,
            self.handshake,
            self.connection,
            self.cross_zone,
        ];
        if fees.iter().any(|fee| !fee.is_finite()) {
            return Err(SettingsError::FeeNotFinite);
        }
        Ok(())
    }
}

impl Default for Fees {
    fn default() -> Self {
        Self {
            health_check: 0.01,
            handshake: 0.0,
            connection: 0.0,
            cross_zone: 0.0,
        }
    }
}

/// How the endpoint list is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollingSettings {
    /// The endpoint list arrives only in answer to a poll.
    pub required: bool,
    /// Longest time without a poll while there is no subscription, in microseconds; above zero.
    pub max_interval: Micros,
}

impl PollingSettings {
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        if self.max_interval == 0 {
            return Err(SettingsError::PollIntervalZero);
        }
        Ok(())
    }
}

impl Default for PollingSettings {
    fn default() -> Self {
        Self {
            required: false,
            max_interval: 10_000_000,
        }
    }
}

/// What servers bear that have just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// Share of its capacity that a server has at least when it starts, above 0 and at most 1.
    pub initial_capacity: f64,
    /// Time after which a server has its full capacity, in microseconds.
    pub duration: Micros,
    /// A server in slow start fails that gets more than this multiple of its capacity, from all
    /// balancers, within [`overload_window`](Self::overload_window).
    pub overload_factor: f64,
    /// The span over which a server in slow start must not be overloaded, in microseconds.
    pub overload_window: Micros,
}

impl SlowStartSettings {
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        if self.initial_capacity.is_nan()
            || self.initial_capacity <= 0.0
            || self.initial_capacity > 1.0
        {
            return Err(SettingsError::InitialCapacityOutOfRange);
        }
        if !self.overload_factor.is_finite() || self.overload_factor <= 0.0 {
            return Err(SettingsError::OverloadFactorOutOfRange);
        }
        Ok(())
    }
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        Self {
            initial_capacity: 0.3,
            duration: 10_000_000,
            overload_factor: 2.5,
            overload_window: 1_500_000,
        }
    }
}
