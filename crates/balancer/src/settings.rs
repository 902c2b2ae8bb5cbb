//! Settings of one deployment and their validation.

mod error;
mod groups;

use crate::request_class::{ClassId, RequestClass};
use crate::time::Micros;

pub use error::{RequestClassError, SettingsError};
pub use groups::{
    BalancerIdentity, Fees, HostCapabilities, PollingSettings, RetrySettings, SlowStartSettings,
};

/// What a deployment configures for its balancers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// Which balancer of the deployment this is.
    pub identity: BalancerIdentity,
    /// Shortest time between two calls of the balancer, in microseconds.
    pub min_call_interval: Micros,
    /// What the host can do for the balancer.
    pub host: HostCapabilities,
    /// What binds the attempts of one request.
    pub retries: RetrySettings,
    /// What the balancer's own traffic costs.
    pub fees: Fees,
    /// A connection that is idle for this long is closed, in microseconds.
    pub idle_timeout: Micros,
    /// The priority weight counts for each unit of a request's work, not for the request.
    pub weight_by_work: bool,
    /// How the endpoint list is followed.
    pub polling: PollingSettings,
    /// Only draining servers must not be sent to; one that is merely removed may be tried.
    pub allow_removed_servers: bool,
    /// What servers bear that have just started.
    pub slow_start: SlowStartSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            classes: Vec::new(),
            identity: BalancerIdentity::default(),
            min_call_interval: 1_000,
            host: HostCapabilities::default(),
            retries: RetrySettings::default(),
            fees: Fees::default(),
            idle_timeout: 5_000_000,
            weight_by_work: false,
            polling: PollingSettings::default(),
            allow_removed_servers: false,
            slow_start: SlowStartSettings::default(),
        }
    }
}

impl Settings {
    /// Checks that all settings are in range.
    ///
    /// # Errors
    /// Returns the first setting that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (index, class) in self.classes.iter().enumerate() {
            if let Some(error) = find_request_class_error(class) {
                return Err(SettingsError::RequestClass { index, error });
            }
        }
        self.retries.validate()?;
        self.slow_start.validate()?;
        self.fees.validate()?;
        self.polling.validate()
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
        let least = weights().fold(f64::MAX, f64::min);
        let most = weights().fold(0.0, f64::max);
        (class.priority_weight - least) / (most - least).max(f64::MIN_POSITIVE)
    }

    /// The shortest latency objective of all classes, in microseconds.
    pub(crate) fn shortest_objective(&self) -> f64 {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(1) as f64
    }

    /// True where there are other balancers to message.
    pub(crate) fn has_peers(&self) -> bool {
        self.host.gossip && self.identity.count > 1
    }
}

fn find_request_class_error(class: &RequestClass) -> Option<RequestClassError> {
    if !is_finite_and_non_negative(class.priority_weight) {
        return Some(RequestClassError::PriorityWeight);
    }
    if class.latency_objective == 0 {
        return Some(RequestClassError::LatencyObjective);
    }
    if class.deadline < class.latency_objective {
        return Some(RequestClassError::Deadline);
    }
    if !(0.0..=1.0).contains(&class.late_value) {
        return Some(RequestClassError::LateValue);
    }
    if !is_finite_and_non_negative(class.objective_per_work) {
        return Some(RequestClassError::ObjectivePerWork);
    }
    None
}

fn is_finite_and_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
