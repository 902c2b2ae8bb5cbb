//! Predicts how long a server takes to respond to a request, and whether it misses a time limit.
//!
//! A miss is predicted only if responses carry load reports; without them, no server is expected to
//! miss a limit. With load checks, [`LoadShedder`](crate::policy::LoadShedder) applies a rule of
//! its own to the response time.
//!
//! The value density `v` of a request is its priority weight per unit of work, divided by that of
//! an average request. With the time left `t`, a server that has a queue or is in slow start is
//! expected to miss the limit if
//!
//! ```text
//! expected response time  >  min(0.6 * v^0.4, 0.78) * t
//! ```
//!
//! Any other server without a queue is exempt. Otherwise, too high an estimate would exclude the
//! server from all requests, and without responses the estimate would never be corrected.
//!
//! A server in slow start is not exempt, because a single large request may exceed its capacity.
//! If it is excluded, responses of other servers of its machine type correct its estimate.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::Estimates;
use crate::fleet::Fleet;
use crate::policy::load_source::LoadSource;
use crate::state::{RequestState, ServerState};

/// Highest expected response time of a request of average value density, as a fraction of the time
/// left. With a higher fraction, delays that the estimate does not cover make responses late; with
/// a lower one, capacity is left unused (docs/deployments.md).
const TIME_LEFT_FRACTION: f64 = 0.6;
/// Upper bound on the fraction of the time left, however valuable the request
/// (docs/deployments.md).
const MAX_TIME_LEFT_FRACTION: f64 = 0.78;
/// Exponent of the value density. With 0, the fraction of the time left is the same for all
/// requests. With 1, it is proportional to the value density, and a full fleet is used only by the
/// requests with the highest.
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
        if !self.is_subject_to_limit(server) {
            return false;
        }
        let time_left = limit_at.saturating_sub(self.fleet.now) as f64;
        let value = self.value_density().powf(VALUE_DENSITY_EXPONENT);
        let fraction = (TIME_LEFT_FRACTION * value).min(MAX_TIME_LEFT_FRACTION);
        self.expected_response_time(server) > fraction * time_left
    }

    /// True if the server has a queue or is in slow start; other servers are exempt from limits.
    fn is_subject_to_limit(&self, server: &ServerState) -> bool {
        server.slow_start.is_active() || self.estimates.queue_depth(server) >= MIN_QUEUE_DEPTH
    }

    /// Load of the requests queued or executing ahead of this one: their number times the server's
    /// relative service time.
    pub(crate) fn load_ahead(&self, server: &ServerState) -> f64 {
        self.estimates.load(server) - self.estimates.relative_service_time(server)
    }

    /// Expected response time of the request at a server, in microseconds.
    ///
    /// If responses carry load reports, the server is modelled as processor sharing: all its
    /// requests execute at once and share its capacity, so the load multiplies the request's own
    /// work. Otherwise it is modelled as first in, first out: the request waits for those ahead of
    /// it, so its own work is added to theirs.
    pub(crate) fn expected_response_time(&self, server: &ServerState) -> f64 {
        let relative_work = self.request.relative_work();
        let mean_service_time = self.fleet.estimators.latency.mean_service_time();
        if self.fleet.settings.load_source() == LoadSource::Responses {
            return self.estimates.load(server) * relative_work * mean_service_time;
        }
        // The load counts this request as an average one.
        let work_correction = (relative_work - 1.0) * self.estimates.relative_service_time(server);
        (self.estimates.load(server) + work_correction) * mean_service_time
    }

    /// Priority weight of the request per unit of work, divided by that of an average request. If
    /// the weight already applies per unit of work, it is not divided by the work again.
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
