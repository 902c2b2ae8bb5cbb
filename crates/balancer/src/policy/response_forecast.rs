//! Predicts whether a server responds to a request in time, if responses carry load reports.
//!
//! With the time left `t` and the value density `v` of the request (its priority weight per work,
//! relative to an average request), a server with a queue is expected to miss a time limit if
//!
//! ```text
//! expected response time  >  min(0.6 * v^0.4, 0.78) * t
//! ```
//!
//! A server without a queue is never expected to miss it: an estimate that excluded a server from
//! all requests would never be corrected. A server in slow start is not exempt, as a single large
//! request may exceed its capacity, and other servers of its machine type correct its estimate.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::Estimates;
use crate::fleet::Fleet;
use crate::policy::load_source::LoadSource;
use crate::state::{RequestState, ServerState};

/// Fraction of the time left within which the response to a request of average value must be
/// expected. Above it, delays that the estimate does not cover make responses late; below, capacity
/// is left unused (docs/deployments.md).
const TIME_LEFT_FRACTION: f64 = 0.6;
/// Upper bound on the fraction of the time left, however valuable the request
/// (docs/deployments.md).
const MAX_TIME_LEFT_FRACTION: f64 = 0.78;
/// Exponent of the value density: 0 treats all requests alike, 1 gives a full fleet to the most
/// valuable ones.
const VALUE_DENSITY_EXPONENT: f64 = 0.4;
/// Minimum queue depth, including the request to be sent, at which a server counts as having a
/// queue. With 1, every server would have one (docs/deployments.md).
const MIN_QUEUE_DEPTH: f64 = 1.5;

/// Expected response times of one request on different servers.
pub(crate) struct ResponseForecast<'a> {
    fleet: &'a Fleet,
    estimates: Estimates<'a>,
    request: &'a RequestState,
}

impl<'a> ResponseForecast<'a> {
    /// Creates the forecast for a request.
    pub(crate) fn new(fleet: &'a Fleet, request: &'a RequestState) -> Self {
        Self {
            fleet,
            estimates: fleet.estimates(),
            request,
        }
    }

    /// True if responses carry load reports and this server is expected to respond after the
    /// request's latency objective.
    pub(crate) fn misses_objective(&self, server: &ServerState) -> bool {
        self.fleet.settings.load_source() == LoadSource::Responses
            && self.exceeds_limit(server, self.request.objective_at())
    }

    /// True if responses carry load reports and this server is expected to respond after the
    /// client's deadline.
    pub(crate) fn misses_deadline(&self, server: &ServerState) -> bool {
        self.fleet.settings.load_source() == LoadSource::Responses
            && self.exceeds_limit(server, self.request.deadline_at())
    }

    fn exceeds_limit(&self, server: &ServerState, limit_at: Micros) -> bool {
        if !self.has_queue(server) {
            return false;
        }
        let time_left = limit_at.saturating_sub(self.fleet.now) as f64;
        let value = self.value_density().powf(VALUE_DENSITY_EXPONENT);
        let fraction = (TIME_LEFT_FRACTION * value).min(MAX_TIME_LEFT_FRACTION);
        self.expected_response_time(server) > fraction * time_left
    }

    fn has_queue(&self, server: &ServerState) -> bool {
        server.slow_start.is_active() || self.estimates.queue_depth(server) >= MIN_QUEUE_DEPTH
    }

    /// Requests queued or executing ahead of this one, times the server's relative service time.
    pub(crate) fn requests_ahead(&self, server: &ServerState) -> f64 {
        self.estimates.load(server) - self.estimates.relative_service_time(server)
    }

    /// Expected response time of the request at a server, in microseconds. If responses carry load
    /// reports, requests execute concurrently and slow each other down, so the load multiplies the
    /// request's own work. Otherwise the request waits for those ahead of it.
    pub(crate) fn expected_response_time(&self, server: &ServerState) -> f64 {
        let relative_work = self.request.relative_work();
        let mean_service_time = self.fleet.estimators.latency.mean_service_time();
        if self.fleet.settings.load_source() == LoadSource::Responses {
            return self.estimates.load(server) * relative_work * mean_service_time;
        }
        let surplus_work = (relative_work - 1.0) * self.estimates.relative_service_time(server);
        (self.estimates.load(server) + surplus_work) * mean_service_time
    }

    /// Priority weight of the request per work, relative to an average request.
    pub(crate) fn value_density(&self) -> f64 {
        let settings = &self.fleet.settings;
        let relative_work = if settings.weight_by_work {
            1.0
        } else {
            self.request.relative_work()
        };
        let priority_weight = settings.class(self.request.class()).priority_weight;
        let workload = &self.fleet.estimators.workload;
        workload.value_density(priority_weight, relative_work)
    }
}
