//! Groups of related settings.

use super::SettingsError;
use crate::time::Micros;

/// Position of this balancer within the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BalancerIdentity {
    /// Zone of the balancer, numbered like [`Endpoint::zone`](crate::Endpoint::zone).
    pub zone: u32,
    /// Index of the balancer, from 0.
    pub index: u32,
    /// Number of balancers in the deployment.
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

/// Capabilities of the host: the program that embeds the balancer, passes events to it and carries
/// out its actions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCapabilities {
    /// The host can cancel attempts.
    pub cancellation: bool,
    /// The host can send health checks.
    pub health_checks: bool,
    /// The host can exchange gossip messages with other balancers.
    pub gossip: bool,
    /// The host passes the Retry-After of a rejection on to the client.
    pub retry_after: bool,
    /// Responses to health checks carry load reports.
    pub load_reports_in_health_checks: bool,
    /// Responses to requests carry load reports, each out of date by some time when it arrives.
    pub load_reports_in_responses: bool,
}

impl Default for HostCapabilities {
    fn default() -> Self {
        Self {
            cancellation: true,
            health_checks: true,
            gossip: false,
            retry_after: true,
            load_reports_in_health_checks: false,
            load_reports_in_responses: false,
        }
    }
}

/// Limits on the attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Maximum number of attempts per request; above zero.
    pub max_attempts: u32,
    /// If true, a request may have two attempts in flight at once (hedged requests).
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

/// Fees for the traffic that a balancer causes: health checks, connections, and attempts to servers
/// in other zones. They are deducted from the deployment's result, which is the value of the served
/// requests as a fraction of the value of all requests, from 0 to 1.
///
/// Each fee is for the quantity that its field names, and is proportional to it: half the quantity
/// costs half the fee. Quantities per request are averages over all requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fees {
    /// Fee for one health check per request.
    pub health_check: f64,
    /// Fee for one new connection per request.
    pub handshake: f64,
    /// Fee for 100 open connections to each server.
    pub connection: f64,
    /// Fee for one attempt per request to a server outside the balancer's zone.
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

/// Polling of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollingSettings {
    /// If true, the endpoint list must be polled for: a poll returns it and subscribes to its
    /// changes. Otherwise the host passes on the list and its changes without a first poll.
    pub required: bool,
    /// Maximum time between two polls while there is no subscription to changes of the endpoint
    /// list, in microseconds; above zero.
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

/// Capacity of servers that have just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// Fraction of its full capacity that any server has at least when it starts; above 0 and at
    /// most 1. The balancer assumes that a server starts with this fraction.
    pub initial_capacity: f64,
    /// Time from the start of a server until it has its full capacity, in microseconds.
    pub duration: Micros,
    /// A server in slow start fails if all balancers together send it too much work within
    /// [`overload_window`](Self::overload_window): more than this multiple of the work that it can
    /// do in that time with its current capacity.
    pub overload_factor: f64,
    /// Length of the sliding window over which the work sent to a server in slow start is summed
    /// up, in microseconds.
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
