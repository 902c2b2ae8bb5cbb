//! Which requests are rejected so that others are served in time.

use crate::balancer::Balancer;
use crate::policy::load_source::LoadSource;
use crate::state::{RequestState, ServerIndex};
use crate::{Action, Actions, DeduplicationScope, Idempotency, Micros, RequestId};

/// A fleet that is full serves more by taking only sure work: in the end, what is expected within this share
/// of the time left, times its value density; the share falls by the last figure as all is rejected. Chosen
/// over loads from 0.7 to 1.2 of capacity.
const IN_TIME_BUSY: f64 = 0.6;
const IN_TIME_FULL: f64 = 0.25;
/// Less than this ahead of a request is no queue.
const MIN_LOAD_AHEAD: f64 = 0.5;
/// Where responses tell of load, a response must be expected within this share of the time left, scaled by a
/// power of its value density, up to the third figure. Late responses are bought while less than the last
/// share of requests finds no server in time.
const IN_TIME_SHARE: f64 = 0.6;
const IN_TIME_VALUE_EXPONENT: f64 = 0.4;
const MAX_IN_TIME_SHARE: f64 = 0.78;
const MAX_MISSED_FOR_LATE: f64 = 0.05;
/// Where servers report no load, saturation stands in. Above the first figure a part is shed, all of it this
/// much higher; the least priority weight goes first.
const SHEDDING_THRESHOLD: f64 = 0.32;
const SHEDDING_SPAN: f64 = 0.35;
/// Jitter of Retry-After: the least factor, and the span above it.
const MIN_RETRY_AFTER_JITTER: f64 = 0.75;
const RETRY_AFTER_JITTER_SPAN: f64 = 0.5;

impl Balancer {
    /// True where a server would respond so late that its work is better spent on another request.
    pub(crate) fn is_too_late(&self, server_index: ServerIndex, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else {
            return true;
        };
        let (class, server) = (
            self.fleet.settings.class(request.class()),
            &self.fleet.servers[server_index],
        );
        if self.fleet.settings.load_source() == LoadSource::Responses {
            let room = !server.slow_start.is_active()
                && self.fleet.estimators.missed_objectives.rate() < MAX_MISSED_FOR_LATE;
            let worth_late = class.late_value > 0.0 && room;
            let in_the_end =
                worth_late && !self.misses(server_index, request, request.deadline_at());
            return !in_the_end && self.misses(server_index, request, request.objective_at());
        }
        if class.late_value > 0.0 || !self.fleet.load_reports_trusted() {
            return false;
        }
        let estimates = self.fleet.estimates();
        let ahead = estimates.load(server) - estimates.relative_service_time(server);
        let in_time = IN_TIME_BUSY - IN_TIME_FULL * self.fleet.estimators.missed_objectives.rate();
        let excess = (1.0 - in_time * estimates.value_density(request)).max(0.0);
        let share = 1.0 - self.fleet.estimators.utilization.fullness() * excess;
        let time_left = request.objective_at().saturating_sub(self.fleet.now) as f64;
        let expected = estimates.expected_service_time(server, request.relative_work());
        ahead >= MIN_LOAD_AHEAD && expected > share * time_left
    }

    /// True where responses tell of load, and a server would respond after the latency objective.
    pub(crate) fn expects_miss(&self, server_index: ServerIndex, id: RequestId) -> bool {
        let misses =
            |request: &RequestState| self.misses(server_index, request, request.objective_at());
        self.fleet.settings.load_source() == LoadSource::Responses
            && self.requests.get(id).is_none_or(misses)
    }

    fn misses(&self, server_index: ServerIndex, request: &RequestState, until: Micros) -> bool {
        let (server, estimates) = (&self.fleet.servers[server_index], self.fleet.estimates());
        let time_left = until.saturating_sub(self.fleet.now) as f64;
        let scale = estimates
            .value_density(request)
            .powf(IN_TIME_VALUE_EXPONENT);
        let share = (IN_TIME_SHARE * scale).min(MAX_IN_TIME_SHARE);
        let expected = estimates.expected_service_time(server, request.relative_work());
        estimates.has_queue(server) && expected > share * time_left
    }

    /// Guards against queues that all balancers fill together, which none of them sees, nor counts in its own
    /// few requests: sheds at random as much as the saturation asks for.
    pub(crate) fn should_shed(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else {
            return true;
        };
        let class = self.fleet.settings.class(request.class());
        let load_known = self.fleet.is_load_known();
        if load_known || class.late_value > 0.0 {
            return false;
        }
        let rank = self.fleet.settings.priority_rank(class);
        let excess =
            self.fleet.estimators.saturation.saturation(self.fleet.now) - SHEDDING_THRESHOLD;
        self.rng.f64() < 2.0 * excess / SHEDDING_SPAN - rank
    }

    /// True where a retry by the client is known to be harmless. Nothing else decides that.
    fn may_reject(&self, request: &RequestState) -> bool {
        let class = self.fleet.settings.class(request.class());
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey if class.deduplication_scope == DeduplicationScope::All => {
                true
            }
            _ => request.first_possible_execution().is_none(),
        }
    }

    /// Gives up on a request at once: rejects it where that is true, else fails it.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if self.may_reject(request) {
            let retry_after = self.retry_after();
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.finish(id, actions);
    }

    /// A fleet that is full throughout has no use for clients that are back at once.
    fn retry_after(&mut self) -> Option<Micros> {
        let max = self.fleet.settings.retries.max_retry_after;
        let wait = self.fleet.estimators.latency.mean_service_time()
            + self.fleet.estimators.utilization.fullness() * max as f64;
        let jitter = MIN_RETRY_AFTER_JITTER + RETRY_AFTER_JITTER_SPAN * self.rng.f64();
        self.fleet
            .settings
            .host
            .retry_after
            .then(|| ((wait * jitter) as Micros).min(max))
    }
}
