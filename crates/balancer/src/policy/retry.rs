//! Whether a request goes out once more.

use super::*;

/// Safety margin before the window in which repeats are dropped closes.
const WINDOW_MARGIN: Micros = 50_000;

impl Balancer {
    /// Where a further attempt of a request may go now, if anywhere: the one judge of legality.
    fn legal(&self, request: &Request) -> Option<Reach> {
        let class = self.class(request);
        let out = request.attempts.iter().any(|a| a.fate == Fate::Out);
        if request.streaming
            || request.attempts.len() >= self.settings.max_attempts as usize
            || self.now >= request.give_up
            || (out && !self.settings.hedging)
        {
            return None;
        }
        let Some(first) = request.attempts.iter().find(|a| a.fate != Fate::NeverRan) else {
            return Some(Reach::Anywhere);
        };
        match class.idempotency {
            Idempotency::Idempotent => Some(Reach::Anywhere),
            Idempotency::NonIdempotent => None,
            Idempotency::IdempotencyKey
                if self.now + WINDOW_MARGIN >= first.sent + class.deduplication_window =>
            {
                None
            }
            Idempotency::IdempotencyKey => Some(match class.deduplication_scope {
                DeduplicationScope::All => Reach::Anywhere,
                DeduplicationScope::Zone => Reach::Zone(first.zone),
                DeduplicationScope::Cell => Reach::Cell(first.cell),
            }),
        }
    }

    /// Sends a request once more, as a retry or a rescue, where it is legal, useful and affordable.
    pub(super) fn further(&mut self, id: RequestId, acts: &mut Actions) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(reach) = self.legal(request) else { return false };
        let out = request.attempts.iter().filter(|a| a.fate == Fate::Out).count();
        let ran = request.attempts.iter().any(|a| a.fate != Fate::NeverRan);
        let cost = if ran { 1.0 } else { RETRY_UNRUN };
        // Guards against attempts that end as they begin: a late answer worth nothing is not waited for.
        let class = self.class(request);
        let over = class.late_value == 0.0 && self.now + 2 * self.settings.step >= request.aim;
        if out > 1 || over || self.budget < cost {
            return false;
        }
        let tried: Vec<ServerId> = request.attempts.iter().map(|a| a.server).collect();
        let Some(i) = self.pick(reach, &tried, &[], self.now, id) else { return false };
        let server = &self.servers[i];
        let unsure = server.suspicion.is_some() || server.doubted || server.cold_since.is_some();
        if unsure || self.too_late(i, id) {
            return false;
        }
        self.budget -= cost;
        self.send(id, i, acts);
        true
    }
}
