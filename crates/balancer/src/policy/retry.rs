//! Whether and where a request is sent again.

use crate::balancer::Balancer;
use crate::state::{RequestState, RetryScope};
use crate::{Actions, DeduplicationScope, Idempotency, Micros, RequestId};

/// Safety margin before the deduplication window closes.
const WINDOW_MARGIN: Micros = 50_000;

impl Balancer {
    /// Where a request may be sent again now, if anywhere. Nothing else decides that.
    fn retry_scope(&self, request: &RequestState) -> Option<RetryScope> {
        let class = self.fleet.settings.class(request.class());
        if request.is_streaming()
            || request.attempt_count() >= self.fleet.settings.retries.max_attempts as usize
            || self.fleet.now >= request.deadline_at()
            || (request.in_flight_count() > 0 && !self.fleet.settings.retries.hedging)
        {
            return None;
        }
        let Some(first) = request.first_possible_execution() else {
            return Some(RetryScope::Anywhere);
        };
        let deduplicated_until = first.sent_at() + class.deduplication_window;
        match class.idempotency {
            Idempotency::Idempotent => Some(RetryScope::Anywhere),
            Idempotency::NonIdempotent => None,
            Idempotency::IdempotencyKey if self.fleet.now + WINDOW_MARGIN >= deduplicated_until => {
                None
            }
            Idempotency::IdempotencyKey => Some(match class.deduplication_scope {
                DeduplicationScope::All => RetryScope::Anywhere,
                DeduplicationScope::Zone => RetryScope::Zone(first.zone()),
                DeduplicationScope::Cell => RetryScope::Cell(first.cell()),
            }),
        }
    }

    /// Sends a request again, as a retry or a hedge, where that is permitted, useful and affordable.
    pub(crate) fn retry(&mut self, id: RequestId, actions: &mut Actions) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let Some(scope) = self.retry_scope(request) else {
            return false;
        };
        let may_have_executed = request.first_possible_execution().is_some();
        // Guards against attempts that end as they begin: a late response worth nothing is not waited for.
        let worthless_late = self.fleet.settings.class(request.class()).late_value == 0.0;
        let out_of_time = self.fleet.now + 2 * self.fleet.settings.step >= request.objective_at();
        let useless = request.in_flight_count() > 1 || (worthless_late && out_of_time);
        if useless || !self.policies.retry_budget.covers_retry(may_have_executed) {
            return false;
        }
        let tried = request.tried_servers();
        let Some(server_index) = self.pick(id, scope, &tried, None) else {
            return false;
        };
        let server = &self.fleet.servers[server_index];
        if server.is_untrusted()
            || server.slow_start.is_active()
            || self.is_too_late(server_index, id)
        {
            return false;
        }
        self.policies.retry_budget.on_retry(may_have_executed);
        self.send(id, server_index, actions);
        true
    }
}
