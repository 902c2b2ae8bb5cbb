//! Whether a request goes out once more.

use super::*;

/// Further attempts earned by each request, what one costs where none has run, and the most saved up: a
/// fleet that turns work away must not get each request several times, and cold servers get none of these.
pub(crate) const RETRY_TOKENS_PER_REQUEST: f64 = 0.05;
pub(crate) const NEVER_EXECUTED_RETRY_COST: f64 = 0.25;
pub(crate) const MAX_RETRY_TOKENS: f64 = 10.0;
pub(crate) const INITIAL_RETRY_BUDGET: f64 = MAX_RETRY_TOKENS / 2.0;
/// Safety margin before the window in which repeats are dropped closes.
const WINDOW_MARGIN: Micros = 50_000;

impl Balancer {
    /// Where a further attempt of a request may go now, if anywhere: the one judge of legality.
    fn retry_scope(&self, request: &RequestState) -> Option<RetryScope> {
        let class = self.class(request);
        let out = request.attempts.iter().any(|a| a.state == AttemptState::InFlight);
        if request.streaming
            || request.attempts.len() >= self.settings.max_attempts as usize
            || self.now >= request.deadline_at
            || (out && !self.settings.hedging)
        {
            return None;
        }
        let Some(first) = request.attempts.iter().find(|a| a.state != AttemptState::NeverExecuted) else {
            return Some(RetryScope::Anywhere);
        };
        match class.idempotency {
            Idempotency::Idempotent => Some(RetryScope::Anywhere),
            Idempotency::NonIdempotent => None,
            Idempotency::IdempotencyKey
                if self.now + WINDOW_MARGIN >= first.sent + class.deduplication_window =>
            {
                None
            }
            Idempotency::IdempotencyKey => Some(match class.deduplication_scope {
                DeduplicationScope::All => RetryScope::Anywhere,
                DeduplicationScope::Zone => RetryScope::Zone(first.zone),
                DeduplicationScope::Cell => RetryScope::Cell(first.cell),
            }),
        }
    }

    /// Sends a request once more, as a retry or a rescue, where it is legal, useful and affordable.
    pub(super) fn retry(&mut self, id: RequestId, actions: &mut Actions) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(reach) = self.retry_scope(request) else { return false };
        let out = request.attempts.iter().filter(|a| a.state == AttemptState::InFlight).count();
        let ran = request.attempts.iter().any(|a| a.state != AttemptState::NeverExecuted);
        let cost = if ran { 1.0 } else { NEVER_EXECUTED_RETRY_COST };
        // Guards against attempts that end as they begin: a late answer worth nothing is not waited for.
        let class = self.class(request);
        let over = class.late_value == 0.0 && self.now + 2 * self.settings.step >= request.objective_at;
        if out > 1 || over || self.retry_budget < cost {
            return false;
        }
        let tried: Vec<ServerId> = request.attempts.iter().map(|a| a.server).collect();
        let Some(i) = self.pick(reach, &tried, &[], self.now, id) else { return false };
        let server = &self.servers[i];
        let unsure = server.suspicion.is_some() || server.possibly_draining || server.cold_since.is_some();
        if unsure || self.should_reject_as_late(i, id) {
            return false;
        }
        self.retry_budget -= cost;
        self.send(id, i, actions);
        true
    }
}
