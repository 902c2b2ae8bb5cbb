//! Settings of one deployment and their validation.

use std::fmt;

use crate::request_class::{ClassId, RequestClass};
use crate::time::Micros;

/// What a deployment configures for its balancers. Fees are fractions of the deployment's result.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// Zone of this balancer, in the numbering of [`Endpoint::zone`](crate::Endpoint::zone).
    pub zone: u32,
    /// Number of this balancer among all, from 0.
    pub balancer_index: u32,
    /// How many balancers there are.
    pub balancer_count: u32,
    /// Shortest time between two calls of the balancer, in microseconds.
    pub step: Micros,
    /// The host can cancel attempts.
    pub cancellation: bool,
    /// The host can check the health of servers.
    pub health_checks: bool,
    /// Balancers can send each other messages.
    pub gossip: bool,
    /// A request may have two attempts in flight at once.
    pub hedging: bool,
    /// Clients receive the Retry-After of a rejection.
    pub retry_after: bool,
    /// Longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Most attempts for one request; above zero.
    pub max_attempts: u32,
    /// Fee for one health check per request.
    pub health_check_fee: f64,
    /// Fee for one new connection per request.
    pub handshake_fee: f64,
    /// A connection that is idle for this long is closed.
    pub idle_timeout: Micros,
    /// Fee for a mean of 100 open connections to each server.
    pub connection_fee: f64,
    /// Fee for one attempt per request that crosses zones.
    pub cross_zone_fee: f64,
    /// Health checks return load reports.
    pub load_reports: bool,
    /// Responses carry load reports too, each as of some time before.
    pub load_reports_in_responses: bool,
    /// The priority weight counts for each unit of a request's work, not for the request.
    pub weight_by_work: bool,
    /// The endpoint list must be polled for.
    pub poll_endpoints: bool,
    /// Longest time without a poll while there is no subscription; above zero.
    pub max_poll_interval: Micros,
    /// Only draining servers must not be sent to; one that is merely removed may be tried.
    pub only_draining_binds: bool,
    /// Share of its capacity that a server has at least when it starts, above 0 and at most 1.
    pub cold_capacity_share: f64,
    /// Time after which a server has its full capacity.
    pub slow_start_time: Micros,
    /// A server in slow start fails that gets more than this multiple of its capacity, from all
    /// balancers, within [`cold_overload_window`](Self::cold_overload_window).
    pub cold_overload_factor: f64,
    /// The span over which a server in slow start must not be overloaded.
    pub cold_overload_window: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            zone: 0,
            balancer_index: 0,
            balancer_count: 1,
            step: 1_000,
            cancellation: true,
            health_checks: true,
            gossip: false,
            hedging: true,
            retry_after: true,
            max_retry_after: 1_000_000,
            max_attempts: 3,
            health_check_fee: 0.01,
            handshake_fee: 0.0,
            idle_timeout: 5_000_000,
            connection_fee: 0.0,
            cross_zone_fee: 0.0,
            load_reports: false,
            load_reports_in_responses: false,
            weight_by_work: false,
            poll_endpoints: false,
            max_poll_interval: 10_000_000,
            only_draining_binds: false,
            cold_capacity_share: 0.3,
            slow_start_time: 10_000_000,
            cold_overload_factor: 2.5,
            cold_overload_window: 1_500_000,
        }
    }
}

/// A setting that is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The key of the setting, as operators know it.
    pub setting: String,
    /// The range that it must lie in.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.reason)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that all settings are in range.
    ///
    /// # Errors
    /// Returns the first setting that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check(
            !self.classes.is_empty(),
            "classes",
            "at least one class is needed",
        )?;
        for (index, class) in self.classes.iter().enumerate() {
            validate_class(index, class)?;
        }
        check(
            self.max_attempts > 0,
            "max_attempts",
            "at least one attempt is needed",
        )?;
        let share = self.cold_capacity_share > 0.0 && self.cold_capacity_share <= 1.0;
        check(share, "cold_share", "must be above 0 and at most 1")?;
        let factor = self.cold_overload_factor > 0.0 && self.cold_overload_factor.is_finite();
        check(factor, "cold_multiple", "must be finite and above 0")?;
        let fees = [
            self.health_check_fee,
            self.handshake_fee,
            self.connection_fee,
            self.cross_zone_fee,
        ];
        let finite = fees.iter().all(|fee| fee.is_finite());
        check(
            finite,
            "probe_fee, connection_fee or cross_zone_fee",
            "must be finite",
        )?;
        check(
            self.max_poll_interval > 0,
            "ask_every",
            "must be above zero",
        )
    }

    /// The class of a request that has arrived.
    ///
    /// # Panics
    /// Where no such class exists; requests of unknown classes are rejected on arrival.
    pub(crate) fn class(&self, id: ClassId) -> &RequestClass {
        &self.classes[usize::from(id.0)]
    }

    /// Where a class stands between the least priority weight (0) and the greatest (1).
    pub(crate) fn priority_rank(&self, class: &RequestClass) -> f64 {
        let weights = || self.classes.iter().map(|class| class.priority_weight);
        let (least, most) = (
            weights().fold(f64::MAX, f64::min),
            weights().fold(0.0, f64::max),
        );
        (class.priority_weight - least) / (most - least).max(f64::MIN_POSITIVE)
    }

    /// True where there are other balancers to message.
    pub(crate) fn has_peers(&self) -> bool {
        self.gossip && self.balancer_count > 1
    }
}

fn validate_class(index: usize, class: &RequestClass) -> Result<(), SettingsError> {
    let weight = class.priority_weight.is_finite() && class.priority_weight >= 0.0;
    check(
        weight,
        &format!("classes[{index}].worth"),
        "must be finite and not negative",
    )?;
    let objective = class.latency_objective > 0;
    check(
        objective,
        &format!("classes[{index}].objective"),
        "must be above zero",
    )?;
    let deadline = class.deadline >= class.latency_objective;
    check(
        deadline,
        &format!("classes[{index}].deadline"),
        "must not be below the objective",
    )?;
    let late_value = (0.0..=1.0).contains(&class.late_value);
    check(
        late_value,
        &format!("classes[{index}].late_value"),
        "must lie between 0 and 1",
    )?;
    let growth = class.objective_per_work.is_finite() && class.objective_per_work >= 0.0;
    check(
        growth,
        &format!("classes[{index}].stretch"),
        "must be finite and not negative",
    )
}

fn check(in_range: bool, setting: &str, reason: &'static str) -> Result<(), SettingsError> {
    if in_range {
        Ok(())
    } else {
        Err(SettingsError {
            setting: setting.to_owned(),
            reason,
        })
    }
}
