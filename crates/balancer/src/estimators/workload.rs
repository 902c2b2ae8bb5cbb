//! The requests that this balancer gets: their rate, work and priority weight.

#[cfg(test)]
mod tests;

use crate::estimators::decaying_rate::DecayingRate;
use crate::estimators::smoothing::FLEET_SMOOTHING_FACTOR;
use crate::{Micros, RequestClass};

/// Half-life of the request rate, in microseconds. Shorter, and the subset of a quiet balancer
/// changes with each request; longer, and it follows a burst late. Inherited with the first version
/// of the module; its source was not recorded.
const REQUEST_RATE_HALF_LIFE: f64 = 5_000_000.0;
/// A work hint counts as at most this many times the mean, so that one enormous hint does not make
/// every other request look small. Inherited with the first version of the module; its source was
/// not recorded.
const MAX_RELATIVE_HINT: f64 = 4.0;

/// Moving means over the requests of this balancer.
pub(crate) struct WorkloadEstimator {
    request_rate: DecayingRate,
    mean_work: f64,
    mean_priority_weight: f64,
}

impl WorkloadEstimator {
    /// An estimator that has seen no request.
    pub(crate) fn new() -> Self {
        let request_rate = DecayingRate::new(REQUEST_RATE_HALF_LIFE);
        Self {
            request_rate,
            mean_work: 0.0,
            mean_priority_weight: 0.0,
        }
    }

    /// A request arrived, with a hint of its work or 0; returns its work against that of a usual
    /// request.
    pub(crate) fn on_request_arrived(
        &mut self,
        class: &RequestClass,
        work_hint: f64,
        now: Micros,
    ) -> f64 {
        if work_hint > 0.0 {
            let mean = if self.mean_work > 0.0 {
                self.mean_work
            } else {
                work_hint
            };
            self.mean_work =
                mean + FLEET_SMOOTHING_FACTOR * (work_hint.min(MAX_RELATIVE_HINT * mean) - mean);
        }
        let weight = class.priority_weight;
        let mean = if self.mean_priority_weight > 0.0 {
            self.mean_priority_weight
        } else {
            weight
        };
        self.mean_priority_weight = mean + FLEET_SMOOTHING_FACTOR * (weight - mean);
        self.request_rate.add(1.0, now);
        if work_hint > 0.0 {
            work_hint / self.mean_work
        } else {
            1.0
        }
    }

    /// Requests per microsecond, above zero.
    pub(crate) fn request_rate(&self, now: Micros) -> f64 {
        self.request_rate
            .per_microsecond(now)
            .max(f64::MIN_POSITIVE)
    }

    /// Priority weight of a request for its work, against that of a usual one: in a full fleet what
    /// earns little for its work must not fill the queues that what earns more would still have
    /// passed in time.
    pub(crate) fn value_density(&self, priority_weight: f64, relative_work: f64) -> f64 {
        if self.mean_work == 0.0 {
            return 1.0;
        }
        priority_weight / relative_work / self.mean_priority_weight.max(f64::MIN_POSITIVE)
    }
}
