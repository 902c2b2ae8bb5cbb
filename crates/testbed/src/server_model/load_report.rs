//! What a machine tells of its load, to probes and in answers.

use super::*;
use crate::scenario::ReportSource;

/// The load report is refreshed this often, as the site's are.
const REPORT: Micros = 3_000;

/// What a probe is told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub inflight: usize,
    pub queue: usize,
    pub eps: f64,
}

impl ServerModel {
    /// Answers a probe; nothing where it takes no more of them.
    pub fn probe(&mut self, now: Micros, events: &mut Vec<Event>) -> Option<Report> {
        self.advance(now, events);
        let rate = self.kind.health_checks_per_s;
        if rate > 0.0 {
            let passed = now.saturating_sub(self.probe_at) as f64 / 1e6;
            self.probe_tokens = (self.probe_tokens + passed * rate).min(rate.max(1.0));
            self.probe_at = now;
            if self.probe_tokens < 1.0 {
                self.done.probes_turned_away += 1;
                return None;
            }
            self.probe_tokens -= 1.0;
        }
        self.done.probes += 1;
        self.debt += self.kind.health_check_ms * 1_000.0;
        if now >= self.report.0 + REPORT || self.report.0 == 0 {
            while self.errors.front().is_some_and(|at| *at + 1_000_000 <= now) {
                self.errors.pop_front();
            }
            let eps = self.errors.len() as f64;
            self.report = (
                now,
                Report {
                    inflight: self.held(),
                    queue: self.queue.len(),
                    eps,
                },
            );
        }
        Some(self.report.1)
    }

    /// What an answer that goes out now tells of the requests held; nothing where answers don't tell.
    pub fn answer_report(&mut self, now: Micros) -> Option<usize> {
        if self.tells.source != ReportSource::Answers {
            return None;
        }
        let (every, delay) = (from_ms(self.tells.every_ms), from_ms(self.tells.delay_ms));
        if self.taken.back().is_none_or(|(at, _)| now >= at + every) {
            self.taken.push_back((now, self.held()));
        }
        while self.taken.get(1).is_some_and(|(at, _)| now >= at + delay) {
            self.taken.pop_front();
        }
        self.taken
            .front()
            .filter(|(at, _)| now >= at + delay)
            .map(|(_, held)| *held)
    }
}
