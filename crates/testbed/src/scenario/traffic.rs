//! Sections on what is asked for: classes, tenants, the load, and what clients do.
//!
//! Owns their keys and defaults. The rates that follow are in `rates`; arrivals are drawn in
//! `workload`, and each engine plays its clients.

use serde::{Deserialize, Serialize};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// It may.
    #[serde(rename = "safe")]
    Idempotent,
    /// It must not.
    #[serde(rename = "unsafe")]
    NonIdempotent,
    /// It carries an idempotency key: within a scope and for a while, a repeat counts as harmless.
    #[serde(rename = "keyed")]
    IdempotencyKey,
}

/// Servers among which a repeat of an idempotency key is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeduplicationScope {
    /// Among all servers.
    All,
    /// Among the servers of one zone.
    Zone,
}

/// How work is spread around its mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkDistribution {
    /// All requests need the mean.
    Fixed,
    /// Exponential.
    #[serde(rename = "exp")]
    Exponential,
    /// Lognormal, with the class's coefficient of variation.
    Lognormal,
}

/// A class of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Its name in reports, by which faults refer to it.
    pub name: String,
    /// Its share of all requests; shares of all classes are weights, and add up to 1 at most.
    pub share: f64,
    /// Mean work, in milliseconds of a standard core.
    pub work_ms: f64,
    /// How work is spread around its mean.
    pub dist: WorkDistribution,
    /// Coefficient of variation of the work, for `lognormal`.
    pub cv: f64,
    /// How far the work of two attempts of a request differs: standard deviation of its
    /// logarithm.
    pub noise: f64,
    /// Latency objective, in milliseconds; above zero.
    pub latency_objective_ms: f64,
    /// Time after which a response is of no use, in milliseconds; not below the objective.
    pub deadline_ms: f64,
    /// Value of a response within the objective, relative to other classes.
    pub priority_weight: f64,
    /// Share of that value which a response after the objective and before the deadline keeps.
    pub late_value: f64,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// Servers among which a repeat of a key is harmless, for `keyed`.
    pub deduplication_scope: DeduplicationScope,
    /// How long a repeat of a key is harmless, in milliseconds, for `keyed`.
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

/// A tenant and its part of the service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tenant {
    /// Its name in reports.
    pub name: String,
    /// Share of what all tenants are entitled to that is its own; shares add up to 1 at most.
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
    /// Stays at its mean.
    Steady,
    /// Rises from a half to one and a half times the mean.
    Ramp,
    /// A wave around the mean.
    Swing,
    /// Drifts at random between `low` and `high` of capacity.
    #[serde(rename = "brim")]
    Drift,
}

/// How much is asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Mean load in requests a second; where 0, `of_capacity` counts.
    pub rate: f64,
    /// Mean load as a share of what the warm fleet can serve.
    pub of_capacity: f64,
    /// How the load changes over time.
    pub shape: LoadShape,
    /// Height of the wave, as a share of the mean, for `swing`.
    pub swing: f64,
    /// Length of one wave in seconds, for `swing`.
    pub period_s: f64,
    /// Least load as a share of capacity, for `brim`.
    pub low: f64,
    /// Highest load as a share of capacity, for `brim`.
    pub high: f64,
    /// Where present, clients hint at the work of a request, off by a factor whose logarithm
    /// has this standard deviation.
    pub work_hints: Option<f64>,
    /// Whether a request counts its class's weight times its work over the class's mean work.
    pub weight_by_work: bool,
    /// Number of open requests at which further arrivals are counted as not played, and not sent.
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

/// What clients do about slow and failed requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Most requests that a client sends for an arrival after the first.
    pub retries: u32,
    /// A request's timeout as a share of its class's deadline, drawn between these.
    pub timeout_share: [f64; 2],
    /// Backoff before a retry in milliseconds, drawn between these.
    pub backoff_ms: [f64; 2],
    /// Share of the clients that keep to the Retry-After of a rejection.
    pub honour_retry_after: f64,
    /// Share of the requests whose clients disconnect early, at a random moment.
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
