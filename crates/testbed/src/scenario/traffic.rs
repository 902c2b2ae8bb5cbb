//! Sections on what is asked for: classes, tenants, the load, and what clients do.

use super::section::{choice, section};

choice! {
    /// Whether a request may run more than once.
    Idempotency {
        /// It may.
        #[serde(rename = "safe")]
        Idempotent,
        /// It must not.
        #[serde(rename = "unsafe")]
        NonIdempotent,
        /// It carries an idempotency key, by which servers of a scope drop repeats for a while.
        #[serde(rename = "keyed")]
        IdempotencyKey,
    }
}

choice! {
    /// Among which servers repeats of an idempotency key are dropped.
    DeduplicationScope {
        /// Among all servers.
        All,
        /// Among the servers of one zone.
        Zone,
    }
}

choice! {
    /// How work is spread around its mean.
    WorkDistribution {
        /// All requests need the mean.
        Fixed,
        /// Exponential.
        #[serde(rename = "exp")]
        Exponential,
        /// Lognormal, with the class's coefficient of variation.
        Lognormal,
    }
}

section! {
    /// A class of requests.
    Class {
        /// Its name.
        name: String = "job-status".into(),
        /// Its share of all requests.
        share: f64 = 1.0,
        /// Mean work, in milliseconds of a standard core.
        work_ms: f64 = 40.0,
        /// How work is spread around its mean.
        dist: WorkDistribution = WorkDistribution::Lognormal,
        /// Coefficient of variation, for `lognormal`.
        cv: f64 = 1.0,
        /// How far the work of two attempts of a request differs: standard deviation of its
        /// logarithm.
        noise: f64 = 0.0,
        /// Latency objective, in milliseconds.
        latency_objective_ms: f64 = 400.0,
        /// Time after which a response is of no use, in milliseconds; not below the objective.
        deadline_ms: f64 = 1_500.0,
        /// What a response within the objective counts.
        priority_weight: f64 = 1.0,
        /// Share of the weight that a response after the objective and before the deadline keeps.
        late_value: f64 = 0.0,
        /// Whether its requests may run more than once.
        idempotency: Idempotency = Idempotency::Idempotent,
        /// Among which servers repeats of a key are dropped, for `keyed`.
        deduplication_scope: DeduplicationScope = DeduplicationScope::All,
        /// How long repeats of a key are dropped, in milliseconds, for `keyed`.
        deduplication_window_ms: f64 = 10_000.0,
    }
}

section! {
    /// A tenant and its part of the service.
    Tenant {
        /// Its name.
        name: String = "shop".into(),
        /// Share of the service that it is entitled to.
        share: f64 = 1.0,
        /// Its traffic, as a multiple of its share.
        usage: f64 = 1.0,
    }
}

choice! {
    /// How the load changes over time.
    LoadShape {
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
}

section! {
    /// How much is asked for.
    Load {
        /// Requests a second; where 0, `of_capacity` counts.
        rate: f64 = 0.0,
        /// Share of what the warm fleet can serve.
        of_capacity: f64 = 0.5,
        /// How the load changes over time.
        shape: LoadShape = LoadShape::Steady,
        /// Height of the wave, as a share of the mean, for `swing`.
        swing: f64 = 0.25,
        /// Length of one wave in seconds, for `swing`.
        period_s: f64 = 30.0,
        /// Least load as a share of capacity, for `brim`.
        low: f64 = 0.9,
        /// Highest load as a share of capacity, for `brim`.
        high: f64 = 1.05,
        /// Where present, clients hint at the work of a request, off by a factor whose logarithm
        /// has this standard deviation.
        work_hints: Option<f64> = None,
        /// Whether a class's weight is that of its mean work, and counts for each unit of work.
        weight_by_work: bool = false,
        /// Open requests at which further arrivals are not played but counted as not played.
        max_open_requests: usize = 200_000,
    }
}

section! {
    /// What clients do about slow and failed requests.
    Clients {
        /// Most requests of an arrival after the first.
        retries: u32 = 1,
        /// A request times out after a share of the deadline that is drawn between these.
        timeout_share: [f64; 2] = [0.7, 1.0],
        /// Backoff before a retry in milliseconds, drawn between these.
        backoff_ms: [f64; 2] = [20.0, 160.0],
        /// Share of the clients that keep to the Retry-After of a rejection.
        honour_retry_after: f64 = 0.25,
        /// Share of the requests whose clients disconnect early, at a random moment.
        disconnect_share: f64 = 0.0,
    }
}
