//! What is turned away.

use super::*;

/// A fleet that is busy serves more by taking only sure work: in the end, what is expected within this share
/// of the time left, times what it earns for its work against a usual request; the share falls by the last
/// figure as all is turned away. Chosen over loads from 0.7 to 1.2 of capacity.
const IN_TIME_BUSY: f64 = 0.6;
const IN_TIME_FULL: f64 = 0.25;
/// Where answers tell of load, an answer must be expected within this share of the time left, scaled by a
/// power of what it earns for its work, up to the third figure. Late answers are bought while less than the
/// last share of requests finds no server in time.
const IN_TIME_SHARE: f64 = 0.6;
const IN_TIME_VALUE_EXPONENT: f64 = 0.4;
const MAX_IN_TIME_SHARE: f64 = 0.78;
const MAX_MISSED_FOR_LATE: f64 = 0.05;
/// Where servers report no load, strain stands in: the mean share of the objective that answers take, a
/// failure counting as all of it. Above the first figure a part is refused, all of it this much higher; the
/// least worth goes first.
const SHEDDING_THRESHOLD: f64 = 0.32;
const SHEDDING_SPAN: f64 = 0.35;

impl Balancer {
    /// True where a server would answer so late that its work is better spent on another request.
    pub(super) fn should_reject_as_late(&self, i: usize, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        let (class, server) = (self.class(request), &self.servers[i]);
        if self.load_from_responses() {
            let room = server.cold_since.is_none() && self.missed_objective_rate < MAX_MISSED_FOR_LATE;
            let late =
                class.late_value > 0.0 && room && !self.misses_deadline(i, request, request.deadline_at);
            return !late && self.misses_deadline(i, request, request.objective_at);
        }
        if class.late_value > 0.0 || !self.load_reports_trusted() {
            return false;
        }
        let ahead = self.load(server) - self.relative_service_time(server);
        let in_time = IN_TIME_BUSY - IN_TIME_FULL * self.missed_objective_rate;
        let share = 1.0 - self.strictness() * (1.0 - in_time * self.value_density(request)).max(0.0);
        let expected = self.expected_service_time(server, request.relative_work);
        ahead >= 0.5 && expected > share * request.objective_at.saturating_sub(self.now) as f64
    }

    /// True where a server would answer after the time that is wanted.
    pub(super) fn misses_objective(&self, i: usize, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|request| self.misses_deadline(i, request, request.objective_at))
    }

    fn misses_deadline(&self, i: usize, request: &RequestState, until: Micros) -> bool {
        let (server, left) = (&self.servers[i], until.saturating_sub(self.now) as f64);
        let share =
            (IN_TIME_SHARE * self.value_density(request).powf(IN_TIME_VALUE_EXPONENT)).min(MAX_IN_TIME_SHARE);
        self.has_queue(server) && self.expected_service_time(server, request.relative_work) > share * left
    }

    /// Guards against queues that all balancers fill together, which none of them sees, nor counts in its own
    /// few requests: refuses at random as much as the strain asks for.
    pub(super) fn should_shed(&mut self, id: RequestId) -> bool {
        let Some(class) = self.requests.get(&id).map(|r| self.class(r)) else { return true };
        if self.load_reports_trusted() || self.load_from_responses() || class.late_value > 0.0 {
            return false;
        }
        let worths = || self.settings.classes.iter().map(|c| c.priority_weight);
        let (least, most) = (worths().fold(f64::MAX, f64::min), worths().fold(0.0, f64::max));
        let rank = (class.priority_weight - least) / (most - least).max(f64::MIN_POSITIVE);
        self.rng.f64() < 2.0 * (self.saturation() - SHEDDING_THRESHOLD) / SHEDDING_SPAN - rank
    }

    /// May the client be told that trying again is harmless? The one judge of it.
    fn may_reject(&self, request: &RequestState) -> bool {
        let class = self.class(request);
        let keyed_everywhere = class.idempotency == Idempotency::IdempotencyKey
            && class.deduplication_scope == DeduplicationScope::All;
        class.idempotency == Idempotency::Idempotent
            || keyed_everywhere
            || request.attempts.iter().all(|a| a.state == AttemptState::NeverExecuted)
    }

    /// Gives up on a request, at once: a refusal where that is true, else a failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.may_reject(request) {
            // A fleet that is busy throughout has no use for clients that are back at once.
            let most = self.settings.max_retry_after;
            let wait =
                (self.mean_service_time + self.strictness() * most as f64) * (0.75 + 0.5 * self.rng.f64());
            let retry_after = self.settings.retry_after.then(|| (wait as Micros).min(most));
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.finish(id, actions);
    }
}
