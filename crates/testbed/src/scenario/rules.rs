//! Sections on what sidecars may do, what servers report, and how a run is judged.

use super::section::{choice, section};

section! {
    /// What the site lets sidecars do.
    Permissions {
        /// Whether they may check servers' health.
        health_checks: bool = true,
        /// Whether they may cancel attempts.
        cancellation: bool = true,
        /// Whether they may hedge requests.
        hedging: bool = true,
        /// Attempts of a request at most.
        max_attempts: u32 = 5,
        /// Seconds after which servers close an idle connection.
        idle_timeout_s: f64 = 5.0,
        /// Milliseconds until a connection must be open.
        connect_timeout_ms: f64 = 200.0,
        /// Milliseconds until a health check must be answered.
        health_check_timeout_ms: f64 = 250.0,
        /// Longest Retry-After of a rejection, in milliseconds.
        max_retry_after_ms: f64 = 2_000.0,
        /// Longest time between two polls of discovery, in milliseconds.
        max_poll_interval_ms: f64 = 10_000.0,
    }
}

choice! {
    /// Where servers report their load.
    LoadReportSource {
        /// In responses to health checks, as of now.
        #[serde(rename = "probe")]
        HealthChecks,
        /// In every response: requests in flight, and nothing else.
        #[serde(rename = "answers")]
        Responses,
    }
}

section! {
    /// How servers report their load in responses.
    LoadReports {
        /// Where they report it.
        source: LoadReportSource = LoadReportSource::HealthChecks,
        /// Milliseconds between two measurements of the load.
        every_ms: f64 = 300.0,
        /// Milliseconds from a measurement until it is reported.
        delay_ms: f64 = 80.0,
    }
}

section! {
    /// The figures of the rules that the auditor checks.
    Rules {
        /// Milliseconds after a drain in which new attempts are still allowed.
        drain_grace_ms: f64 = 2_000.0,
        /// Multiple of its capacity beyond which a cold server is overloaded.
        cold_overload_factor: f64 = 2.5,
        /// Milliseconds over which work sent to a cold server is summed up.
        cold_overload_window_ms: f64 = 1_500.0,
        /// Milliseconds after the deadline in which a response still counts.
        response_grace_ms: f64 = 20.0,
        /// The emulator's allowance on every time limit, in milliseconds.
        emulator_extra_ms: f64 = 50.0,
        /// Share of its weight that a request beyond its tenant's share counts.
        over_share_weight: f64 = 0.2,
        /// What tenants are entitled to together, as a share of capacity.
        quota_of_capacity: f64 = 0.9,
    }
}

section! {
    /// Points of service for what is spent, as fractions.
    Prices {
        /// Of an attempt in another zone.
        cross_zone: f64 = 0.015,
        /// Of wasted work.
        waste: f64 = 0.022,
        /// Of a health check.
        health_check: f64 = 0.0021,
        /// Of a new connection.
        handshake: f64 = 0.0,
        /// Of a request that fails after its deadline.
        late_fail: f64 = 0.05,
    }
}
