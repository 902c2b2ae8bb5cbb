//! Settings of a deployment and their validation.

mod error;
mod groups;

use crate::request_class::{ClassId, RequestClass};
use crate::time::Micros;

pub use error::{RequestClassError, SettingsError};
pub use groups::{
    BalancerIdentity, Fees, HostCapabilities, PollingSettings, RetrySettings, SlowStartSettings,
};

/// Settings of the balancers of a deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes, indexed by [`ClassId`]; at least one.
    pub classes: Vec<RequestClass>,
    /// Position of this balancer within the deployment.
    pub identity: BalancerIdentity,
    /// Minimum time between two calls of the balancer, in microseconds: events and timers may be
    /// handled late by up to this time.
    pub min_call_interval: Micros,
    /// Capabilities of the program that embeds the balancer.
    pub host: HostCapabilities,
    /// Limits on the attempts of a request.
    pub retries: RetrySettings,
    /// Fees for the traffic that a balancer causes.
    pub fees: Fees,
    /// Time after which an idle connection to a server is closed, in microseconds.
    pub idle_timeout: Micros,
    /// If true, the priority weight applies per unit of a request's work instead of per request.
    pub weight_by_work: bool,
    /// Polling of the endpoint list.
    pub polling: PollingSettings,
    /// If true, requests may be sent to a server that was removed from the endpoint list without
    /// draining.
    pub allow_removed_servers: bool,
    /// Capacity of servers that have just started.
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
    /// Validates the range of all settings.
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

    /// Returns the request class with this id.
    ///
    /// # Panics
    /// Panics if there is no such class; requests of unknown classes are rejected on arrival.
    pub(crate) fn class(&self, id: ClassId) -> &RequestClass {
        &self.classes[usize::from(id.0)]
    }

    /// Returns the priority weight of a class, scaled linearly so that the lowest weight of all
    /// classes is 0 and the highest is 1.
    pub(crate) fn priority_rank(&self, class: &RequestClass) -> f64 {
        let weights = || self.classes.iter().map(|class| class.priority_weight);
        let least = weights().fold(f64::MAX, f64::min);
        let most = weights().fold(0.0, f64::max);
        (class.priority_weight - least) / (most - least).max(f64::MIN_POSITIVE)
    }

    /// Returns the shortest latency objective of all classes, in microseconds.
    pub(crate) fn shortest_objective(&self) -> f64 {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(1) as f64
    }

    /// Returns true if there are other balancers and gossip can be sent to them.
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
