//! Sections of the traffic: request classes, tenants, load and client behaviour.
//!
//! The resulting rates are computed in `rates`. Arrivals are drawn in `workload`, and each engine
//! simulates or emulates the clients.

use serde::{Deserialize, Serialize};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// It may run more than once.
    #[serde(rename = "safe")]
    Idempotent,
    /// It must run once at most.
    #[serde(rename = "unsafe")]
    NonIdempotent,
    /// It carries an idempotency key: servers deduplicate repeats within the deduplication scope
    /// and window.
    #[serde(rename = "keyed")]
    IdempotencyKey,
}

/// The servers that share their idempotency keys, so that a repeat on any of them is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
}

/// Distribution of the work of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkDistribution {
    /// All requests need the mean work.
    Fixed,
    /// Exponential distribution.
    #[serde(rename = "exp")]
    Exponential,
    /// Lognormal distribution with the class's coefficient of variation.
    Lognormal,
}

/// A request class.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Name in reports and in faults.
    pub name: String,
    /// Share of all requests. Shares are used as relative weights; their sum must not exceed 1.
    pub share: f64,
    /// Mean work, in milliseconds of a standard core.
    pub work_ms: f64,
    /// Distribution of the work.
    pub dist: WorkDistribution,
    /// Coefficient of variation of the work, for `lognormal`.
    pub cv: f64,
    /// Variation of work between attempts of the same request: standard deviation of its logarithm.
    pub noise: f64,
    /// Latency objective, in milliseconds; above zero.
    pub latency_objective_ms: f64,
    /// Deadline after which a response has no value, in milliseconds; not below the objective.
    pub deadline_ms: f64,
    /// Value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Share of that value for a response after the latency objective but before the deadline.
    pub late_value: f64,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// Servers that recognise each other's idempotency keys, for `keyed`.
    pub deduplication_scope: DeduplicationScope,
    /// Time for which a repeated key is recognised, in milliseconds, for `keyed`.
    pub deduplication_window_ms: f64,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            name: "job-status".into(),
            share: 1.0,
            work_ms: 40.0,
            dist: WorkDistribution::Lognormal,
            cv: 1.0,
            noise: 0.0,
            latency_objective_ms: 400.0,
            deadline_ms: 1_500.0,
            priority_weight: 1.0,
            late_value: 0.0,
            idempotency: Idempotency::Idempotent,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window_ms: 10_000.0,
        }
    }
}

/// A tenant with its quota and traffic.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tenant {
    /// Name in reports.
    pub name: String,
    /// Share of the total quota of all tenants; the sum of shares must not exceed 1.
    pub share: f64,
    /// Its traffic, as a multiple of its share.
    pub usage: f64,
}

impl Default for Tenant {
    fn default() -> Self {
        Self {
            name: "shop".into(),
            share: 1.0,
            usage: 1.0,
        }
    }
}

/// How the load changes over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadShape {
    /// Constant at the mean.
    Steady,
    /// Rises linearly from 0.5 to 1.5 times the mean.
    Ramp,
    /// Oscillates around the mean in a sine wave.
    Swing,
    /// Drifts at random between the shares `low` and `high` of capacity.
    #[serde(rename = "brim")]
    Drift,
}

/// The rate of arrivals, and its limits.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Mean load in requests per second; if 0, `of_capacity` applies.
    pub rate: f64,
    /// Mean load as a share of the capacity of the warm fleet.
    pub of_capacity: f64,
    /// How the load changes over time.
    pub shape: LoadShape,
    /// Amplitude of the wave as a share of the mean, for `swing`.
    pub swing: f64,
    /// Period of the wave in seconds, for `swing`.
    pub period_s: f64,
    /// Minimum load as a share of capacity, for `brim`.
    pub low: f64,
    /// Maximum load as a share of capacity, for `brim`.
    pub high: f64,
    /// If present, clients send work hints; their error is a factor whose logarithm has this
    /// standard deviation.
    pub work_hints: Option<f64>,
    /// Whether the weight of a request is its class's weight times its work divided by the class's
    /// mean work.
    pub weight_by_work: bool,
    /// Maximum number of open requests. No request is sent for an arrival that starts while so many
    /// are open.
    pub max_open_requests: usize,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            rate: 0.0,
            of_capacity: 0.5,
            shape: LoadShape::Steady,
            swing: 0.25,
            period_s: 30.0,
            low: 0.9,
            high: 1.05,
            work_hints: None,
            weight_by_work: false,
            max_open_requests: 200_000,
        }
    }
}

/// How clients handle slow and failed requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Maximum number of retries per arrival.
    pub retries: u32,
    /// Range from which the timeout of a request is drawn, as a share of its class's deadline.
    pub timeout_share: [f64; 2],
    /// Range from which the backoff before a retry is drawn, in milliseconds.
    pub backoff_ms: [f64; 2],
    /// Share of clients that honour the Retry-After of a rejection.
    pub honour_retry_after: f64,
    /// Share of requests whose clients disconnect early, at a random time.
    pub disconnect_share: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: 1,
            timeout_share: [0.7, 1.0],
            backoff_ms: [20.0, 160.0],
            honour_retry_after: 0.25,
            disconnect_share: 0.0,
        }
    }
}
