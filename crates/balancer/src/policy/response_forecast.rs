//! Whether a server is expected to respond to a request in time, where responses tell of load.
//!
//! With the time left `t` and the value density `v` of the request (its priority weight for its
//! work, against that of a usual request), a server with a queue is expected to miss a time where
//!
//! ```text
//! expected service time  >  min(0.6 * v^0.4, 0.78) * t
//! ```
//!
//! A server without a queue takes any request: an estimate that rejected all would never be
//! corrected. One in slow start is not exempt, as one large request may be all that it bears, and
//! others of its machine type correct its estimate.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::Estimates;
use crate::fleet::Fleet;
use crate::policy::load_source::LoadSource;
use crate::state::{RequestState, ServerState};

/// Share of the time left within which a response to a request of usual value must be expected.
/// Above it, what the estimate does not see makes responses late; below, capacity is left unused.
/// Chosen by experiment on the testbed's deployments (docs/deployments.md).
const EXPECTED_SHARE_OF_TIME_LEFT: f64 = 0.6;
/// Most of that share, however great the value. Chosen by experiment on the testbed's deployments
/// (docs/deployments.md).
const MAX_EXPECTED_SHARE_OF_TIME_LEFT: f64 = 0.78;
/// Exponent of the value density: 0 treats all requests alike, 1 gives a full fleet to the most
/// valuable ones. Chosen by experiment on the testbed's deployments.
const VALUE_DENSITY_EXPONENT: f64 = 0.4;
/// Queue depth, in requests with the one to come, from which a server counts as having a queue.
/// With 1 every server would have one. Chosen by experiment on the testbed's deployments
/// (docs/deployments.md).
const MIN_QUEUE_DEPTH: f64 = 1.5;

/// Expected response times of one request.
pub(crate) struct ResponseForecast<'a> {
    fleet: &'a Fleet,
    estimates: Estimates<'a>,
    request: &'a RequestState,
}

impl<'a> ResponseForecast<'a> {
    /// The forecast for a request.
    pub(crate) fn new(fleet: &'a Fleet, request: &'a RequestState) -> Self {
        Self {
            fleet,
            estimates: fleet.estimates(),
            request,
        }
    }

    /// True where responses tell of load, and this server is expected to respond after the latency
    /// objective.
    pub(crate) fn misses_objective(&self, server: &ServerState) -> bool {
        self.fleet.settings.load_source() == LoadSource::Responses
            && self.misses(server, self.request.objective_at())
    }

    /// True where responses tell of load, and this server is expected to respond after the client
    /// gave up.
    pub(crate) fn misses_deadline(&self, server: &ServerState) -> bool {
        self.fleet.settings.load_source() == LoadSource::Responses
            && self.misses(server, self.request.deadline_at())
    }

    fn misses(&self, server: &ServerState, until: Micros) -> bool {
        if !self.has_queue(server) {
            return false;
        }
        let time_left = until.saturating_sub(self.fleet.now) as f64;
        let value = self.value_density().powf(VALUE_DENSITY_EXPONENT);
        let share = (EXPECTED_SHARE_OF_TIME_LEFT * value).min(MAX_EXPECTED_SHARE_OF_TIME_LEFT);
        self.expected_service_time(server) > share * time_left
    }

    fn has_queue(&self, server: &ServerState) -> bool {
        server.slow_start.is_active() || self.estimates.queue_depth(server) >= MIN_QUEUE_DEPTH
    }

    /// Requests that wait or execute ahead of this one, in the time that this server takes.
    pub(crate) fn requests_ahead(&self, server: &ServerState) -> f64 {
        self.estimates.load(server) - self.estimates.relative_service_time(server)
    }

    /// Microseconds that a server is expected to take for the request. Where responses tell of
    /// load, several requests run at a time and each slows all others, so that the load multiplies
    /// the request's own work. Else the request waits for those ahead of it.
    pub(crate) fn expected_service_time(&self, server: &ServerState) -> f64 {
        let relative_work = self.request.relative_work();
        let mean_service_time = self.fleet.estimators.latency.mean_service_time();
        if self.fleet.settings.load_source() == LoadSource::Responses {
            return self.estimates.load(server) * relative_work * mean_service_time;
        }
        let surplus_work = (relative_work - 1.0) * self.estimates.relative_service_time(server);
        (self.estimates.load(server) + surplus_work) * mean_service_time
    }

    /// Priority weight of the request for its work, against that of a usual one.
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
