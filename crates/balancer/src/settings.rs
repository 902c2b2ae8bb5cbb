//! Settings of one deployment and their validation.

use std::fmt;

use crate::request_class::{ClassId, RequestClass};
use crate::time::Micros;

/// What a deployment tells its balancers at start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// Zone of this balancer, in the numbering of [`Endpoint::zone`](crate::Endpoint::zone).
    pub zone: u32,
    /// Number of this balancer among its peers.
    pub balancer_index: u32,
    /// How many balancers there are.
    pub balancer_count: u32,
    /// Shortest time between two calls of the balancer.
    pub step: Micros,
    /// Attempts can be cancelled.
    pub cancellation: bool,
    /// Servers can be probed.
    pub health_checks: bool,
    /// Balancers can message each other.
    pub gossip: bool,
    /// A request may have two attempts outstanding.
    pub hedging: bool,
    /// Clients hear the retry-after of a refusal.
    pub retry_after: bool,
    /// Longest retry-after that clients honour.
    pub max_retry_after: Micros,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Price of one probe per request, as a fraction of the result.
    pub health_check_fee: f64,
    /// Price of one new connection per request, as a fraction of the result.
    pub handshake_fee: f64,
    /// A connection that stands idle for this long is closed.
    pub idle_timeout: Micros,
    /// Price of a mean of 100 open connections for each server.
    pub connection_fee: f64,
    /// Price of one attempt per request crossing zones.
    pub cross_zone_fee: f64,
    /// Load reports carry the requests held and waiting, with probes.
    pub load_reports: bool,
    /// Load reports come with answers too, each as of some time before.
    pub load_reports_in_responses: bool,
    /// A request's worth counts for each unit of its work.
    pub weight_by_work: bool,
    /// The list of servers must be asked for.
    pub poll_endpoints: bool,
    /// Longest time to go without asking for the list.
    pub max_poll_interval: Micros,
    /// Only a listed drain binds; a server that is merely gone may be tried.
    pub only_draining_binds: bool,
    /// A server starts at this share of its capacity or more.
    pub cold_capacity_share: f64,
    /// And is warm after this time.
    pub slow_start_time: Micros,
    /// A cold server falls over that is sent more than this many times what it can do,
    pub cold_overload_factor: f64,
    /// for this long, by all balancers together.
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

/// A setting that the balancer cannot work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting.
    pub setting: String,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.setting, self.reason)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Tells whether the balancer can work with these settings.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let check = |ok: bool, setting: &str, reason: &'static str| {
            let setting = setting.to_owned();
            if ok { Ok(()) } else { Err(SettingsError { setting, reason }) }
        };
        check(!self.classes.is_empty(), "classes", "at least one class is needed")?;
        for (i, class) in self.classes.iter().enumerate() {
            let worth = class.priority_weight.is_finite() && class.priority_weight >= 0.0;
            check(worth, &format!("classes[{i}].worth"), "must be finite and not negative")?;
            let objective = class.latency_objective > 0;
            check(objective, &format!("classes[{i}].objective"), "must be above zero")?;
            let deadline = class.deadline >= class.latency_objective;
            check(deadline, &format!("classes[{i}].deadline"), "must not be below the objective")?;
            let late = (0.0..=1.0).contains(&class.late_value);
            check(late, &format!("classes[{i}].late_value"), "must lie between 0 and 1")?;
            let stretch = class.objective_per_work.is_finite() && class.objective_per_work >= 0.0;
            check(stretch, &format!("classes[{i}].stretch"), "must be finite and not negative")?;
        }
        check(self.max_attempts > 0, "max_attempts", "at least one attempt is needed")?;
        let share = self.cold_capacity_share > 0.0 && self.cold_capacity_share <= 1.0;
        check(share, "cold_share", "must be above 0 and at most 1")?;
        let multiple = self.cold_overload_factor > 0.0 && self.cold_overload_factor.is_finite();
        check(multiple, "cold_multiple", "must be finite and above 0")?;
        let fees = [self.health_check_fee, self.handshake_fee, self.connection_fee, self.cross_zone_fee]
            .iter()
            .all(|f| f.is_finite());
        check(fees, "probe_fee, connection_fee or cross_zone_fee", "must be finite")?;
        check(self.max_poll_interval > 0, "ask_every", "must be above zero")
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
        let (least, most) = (weights().fold(f64::MAX, f64::min), weights().fold(0.0, f64::max));
        (class.priority_weight - least) / (most - least).max(f64::MIN_POSITIVE)
    }

    /// True where there are other balancers to message.
    pub(crate) fn has_peers(&self) -> bool {
        self.gossip && self.balancer_count > 1
    }
}
