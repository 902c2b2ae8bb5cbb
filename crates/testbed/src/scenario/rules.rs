//! Sections of the sidecars' permissions, the servers' load reports, and the evaluation of a run.
//!
//! The auditor checks the rules, and the statistics apply the prices.

use serde::{Deserialize, Serialize};

/// What the site permits sidecars to do.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Permissions {
    /// Whether they may send health checks.
    pub health_checks: bool,
    /// Whether they may cancel attempts.
    pub cancellation: bool,
    /// Whether they may hedge requests.
    pub hedging: bool,
    /// Maximum number of attempts per request; above zero.
    pub max_attempts: u32,
    /// Time after which servers close an idle connection, in seconds.
    pub idle_timeout_s: f64,
    /// Timeout for opening a connection, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Timeout of a health check, in milliseconds.
    pub health_check_timeout_ms: f64,
    /// Maximum Retry-After of a rejection, in milliseconds.
    pub max_retry_after_ms: f64,
    /// Maximum time between two polls of discovery, in milliseconds.
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

/// The responses in which servers report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadReportSource {
    /// Responses to health checks; the report is hardly older than the response.
    #[serde(rename = "probe")]
    HealthChecks,
    /// All responses; the report has the requests in flight only.
    #[serde(rename = "answers")]
    Responses,
}

/// How servers report their load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadReports {
    /// The responses with reports.
    pub source: LoadReportSource,
    /// Interval between measurements of the load, in milliseconds, for `answers`.
    pub every_ms: f64,
    /// Delay from a measurement until it is reported, in milliseconds, for `answers`.
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

/// Limits of the rules that the auditor checks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Time after the notification of a drain in which attempts may still start, in milliseconds.
    pub drain_grace_ms: f64,
    /// Multiple of its capacity above which a cold server is overloaded.
    pub cold_overload_factor: f64,
    /// Window over which the work sent to a cold server is summed up, in milliseconds.
    pub cold_overload_window_ms: f64,
    /// Time after the deadline in which a response still counts, in milliseconds.
    pub response_grace_ms: f64,
    /// Tolerance added to every time limit in the emulator, in milliseconds.
    pub emulator_extra_ms: f64,
    /// Share of its weight that a request above its tenant's quota keeps.
    pub over_share_weight: f64,
    /// Total quota of all tenants, as a share of the requests that the warm fleet can serve.
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

/// Deductions from the service figure, which lies between 0 and 1. Each is proportional to the
/// quantity that it prices.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Prices {
    /// Deduction for one cross-zone attempt per arrival.
    pub cross_zone: f64,
    /// Deduction for wasted work that equals the mean work of a request per arrival.
    pub waste: f64,
    /// Deduction for one health check per arrival.
    pub health_check: f64,
    /// Deduction for one new connection per arrival.
    pub handshake: f64,
    /// Deduction if all arrivals lost their whole value by ending after their latency objective.
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
