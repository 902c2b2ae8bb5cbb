//! Rate, work and priority weight of the requests that this balancer receives.

#[cfg(test)]
mod tests;

use crate::estimators::decaying_rate::DecayingRate;
use crate::estimators::smoothing::FLEET_SMOOTHING_FACTOR;
use crate::{Micros, RequestClass};

/// Half-life of the request rate, in microseconds. Shorter, and the subset of a balancer with
/// little traffic changes with each request; longer, and the rate follows a burst late.
const REQUEST_RATE_HALF_LIFE: f64 = 5_000_000.0;
/// Upper bound of a work hint relative to the mean, so that one very large hint does not make all
/// other requests look small.
const MAX_RELATIVE_HINT: f64 = 4.0;

/// Moving averages over the requests of this balancer.
pub(crate) struct WorkloadEstimator {
    request_rate: DecayingRate,
    mean_work: f64,
    mean_priority_weight: f64,
}

impl WorkloadEstimator {
    /// Creates an estimator without requests.
    pub(crate) fn new() -> Self {
        let request_rate = DecayingRate::new(REQUEST_RATE_HALF_LIFE);
        Self {
            request_rate,
            mean_work: 0.0,
            mean_priority_weight: 0.0,
        }
    }

    /// Records a request with its work hint, 0 if it has none; returns its work relative to an
    /// average request.
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

    /// Returns the requests per microsecond, above zero.
    pub(crate) fn request_rate(&self, now: Micros) -> f64 {
        self.request_rate
            .per_microsecond(now)
            .max(f64::MIN_POSITIVE)
    }

    /// Returns the priority weight of a request per unit of work, relative to an average request.
    /// In a full fleet, requests with a low density must not fill queues in which requests with a
    /// higher one could still be served in time.
    pub(crate) fn value_density(&self, priority_weight: f64, relative_work: f64) -> f64 {
        if self.mean_work == 0.0 {
            return 1.0;
        }
        priority_weight / relative_work / self.mean_priority_weight.max(f64::MIN_POSITIVE)
    }
}
