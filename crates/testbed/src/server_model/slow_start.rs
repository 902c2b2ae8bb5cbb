//! A machine that has just started: what it can do, and what pushes it over.

use super::*;

impl ServerModel {
    pub(super) fn warmth(&self, now: Micros) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let by_time =
            now.saturating_sub(since) as f64 / from_s(self.kind.slow_start_s).max(1) as f64;
        let by_work = match self.kind.warm_requests {
            0 => 0.0,
            most => self.served_cold as f64 / most as f64,
        };
        (self.kind.cold_capacity_share
            + (1.0 - self.kind.cold_capacity_share) * by_time.max(by_work))
        .min(1.0)
    }

    pub fn is_cold(&self, now: Micros) -> bool {
        self.warmth(now) < 1.0
    }

    /// True where a cold machine has been sent more within the span than the rule allows.
    pub(super) fn presses(&mut self, now: Micros, work: f64) -> bool {
        if !self.is_cold(now) {
            self.pressure.clear();
            return false;
        }
        let (multiple, span) = self.fall;
        self.pressure.push_back((now, work));
        while self
            .pressure
            .front()
            .is_some_and(|(at, _)| *at + span <= now)
        {
            self.pressure.pop_front();
        }
        let sent: f64 = self.pressure.iter().map(|(_, work)| work).sum();
        sent > budget(multiple, self.capacity(now), span, work)
    }
}

/// Work that a cold server may be sent within the span of the fourth rule. The slack stands for chance: two
/// requests as large as the largest, as the rule is about load and not about one request's luck.
pub fn budget(multiple: f64, capacity: f64, span: Micros, largest: f64) -> f64 {
    multiple * capacity * span as f64 + 2.0 * largest
}
