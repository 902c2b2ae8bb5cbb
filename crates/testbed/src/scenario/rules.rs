//! Sections on what sidecars may do, what servers report, and how a run is judged.
//!
//! Owns their keys and defaults. The auditor checks the rules, and the statistics take the prices.

use serde::{Deserialize, Serialize};

/// What the site lets sidecars do.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Permissions {
    /// Whether they may check servers' health.
    pub health_checks: bool,
    /// Whether they may cancel attempts.
    pub cancellation: bool,
    /// Whether they may hedge requests.
    pub hedging: bool,
    /// Most attempts of a request; above zero.
    pub max_attempts: u32,
    /// Seconds after which servers close an idle connection.
    pub idle_timeout_s: f64,
    /// Milliseconds in which a connection must be open.
    pub connect_timeout_ms: f64,
    /// Milliseconds in which a health check must have its response.
    pub health_check_timeout_ms: f64,
    /// Longest Retry-After of a rejection, in milliseconds.
    pub max_retry_after_ms: f64,
    /// Longest time between two polls of discovery, in milliseconds.
    pub max_poll_interval_ms: f64,
}

impl Default for Permissions {
    fn default() -> Self {
        Self {
            health_checks: true,
            cancellation: true,
            hedging: true,
            max_attempts: 5,
            idle_timeout_s: 5.0,
            connect_timeout_ms: 200.0,
            health_check_timeout_ms: 250.0,
            max_retry_after_ms: 2_000.0,
            max_poll_interval_ms: 10_000.0,
        }
    }
}

/// Where servers report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadReportSource {
    /// In responses to health checks, hardly older than the response.
    #[serde(rename = "probe")]
    HealthChecks,
    /// In every response: requests in flight, and nothing else.
    #[serde(rename = "answers")]
    Responses,
}

/// How servers report their load in responses.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadReports {
    /// Where they report it.
    pub source: LoadReportSource,
    /// Milliseconds between two measurements of the load, for `answers`.
    pub every_ms: f64,
    /// Milliseconds from a measurement until it is reported, for `answers`.
    pub delay_ms: f64,
}

impl Default for LoadReports {
    fn default() -> Self {
        Self {
            source: LoadReportSource::HealthChecks,
            every_ms: 300.0,
            delay_ms: 80.0,
        }
    }
}

/// The figures of the rules that the auditor checks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Milliseconds after the notification of a drain in which attempts may still start.
    pub drain_grace_ms: f64,
    /// Multiple of its capacity beyond which a cold server is overloaded.
    pub cold_overload_factor: f64,
    /// Milliseconds over which work sent to a cold server is summed up.
    pub cold_overload_window_ms: f64,
    /// Milliseconds after the deadline in which a response still counts.
    pub response_grace_ms: f64,
    /// The emulator's allowance on every time limit, in milliseconds.
    pub emulator_extra_ms: f64,
    /// Share of its weight that a request beyond its tenant's quota counts.
    pub over_share_weight: f64,
    /// Requests that all tenants are entitled to together, as a share of those that the warm fleet
    /// can serve.
    pub quota_of_capacity: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace_ms: 2_000.0,
            cold_overload_factor: 2.5,
            cold_overload_window_ms: 1_500.0,
            response_grace_ms: 20.0,
            emulator_extra_ms: 50.0,
            over_share_weight: 0.2,
            quota_of_capacity: 0.9,
        }
    }
}

/// What is subtracted from the service, which lies between 0 and 1.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Prices {
    /// Of attempts in another zone, if there is one for each arrival.
    pub cross_zone: f64,
    /// Of wasted work, if it is as much as all arrivals need on the mean.
    pub waste: f64,
    /// Of health checks, if there is one for each arrival.
    pub health_check: f64,
    /// Of new connections, if there is one for each arrival.
    pub handshake: f64,
    /// Of the value lost by arrivals that end after their latency objective, if it is all that
    /// arrived.
    pub late_fail: f64,
}

impl Default for Prices {
    fn default() -> Self {
        Self {
            cross_zone: 0.015,
            waste: 0.022,
            health_check: 0.0021,
            handshake: 0.0,
            late_fail: 0.05,
        }
    }
}
