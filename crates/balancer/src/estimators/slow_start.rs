//! The capacity of servers that have just started, and what a warm server gets.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use crate::estimators::decaying_rate::DecayingRate;
use crate::{Micros, Settings};

/// Half-life of the rate at which work is sent, in microseconds; that of the request rate.
/// Inherited with the first version of the module; its source was not recorded.
const WORK_RATE_HALF_LIFE: f64 = 5_000_000.0;
/// Least share of the subset's capacity that is warm for a warm server's quota to be measured.
/// Below it the last quota is kept: what all send to the few that are warm in a release says little
/// of one server's usual quota. Chosen by experiment on the testbed's deployments.
const MIN_WARM_SHARE: f64 = 0.7;

/// Work sent to a server in slow start.
struct SentWork {
    at: Micros,
    relative_work: f64,
}

/// The slow start of one server.
#[derive(Default)]
pub(crate) struct SlowStartRecord {
    since: Option<Micros>,
    sent: VecDeque<SentWork>,
}

impl SlowStartRecord {
    /// True from a start until the server was found warm.
    pub(crate) fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Share of its capacity that a server is assumed to have: from the cold share up to all of it.
    pub(crate) fn factor(&self, now: Micros, settings: &Settings) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let age = now.saturating_sub(since) as f64 / settings.slow_start.duration.max(1) as f64;
        (settings.slow_start.initial_capacity + (1.0 - settings.slow_start.initial_capacity) * age)
            .min(1.0)
    }

    /// The server started at this time; a start that is long ago changes nothing.
    pub(crate) fn on_started(&mut self, started_at: Micros, now: Micros, slow_start_time: Micros) {
        if now < started_at + slow_start_time {
            self.since = Some(started_at.min(now));
        }
    }

    /// The server came back from silence, and may have restarted.
    pub(crate) fn on_silence_ended(&mut self, now: Micros) {
        self.since = Some(now);
    }

    /// The server was found warm.
    pub(crate) fn on_warmed_up(&mut self) {
        self.since = None;
        self.sent.clear();
    }

    /// Work was sent to the server; what is older than the last `window` microseconds is forgotten.
    pub(crate) fn on_work_sent(&mut self, relative_work: f64, now: Micros, window: Micros) {
        if self.since.is_none() {
            return;
        }
        while self.sent.front().is_some_and(|sent| sent.at + window < now) {
            self.sent.pop_front();
        }
        self.sent.push_back(SentWork {
            at: now,
            relative_work,
        });
    }

    /// Work sent within the last `window` microseconds.
    pub(crate) fn work_sent_within(&self, window: Micros, now: Micros) -> f64 {
        self.sent
            .iter()
            .filter(|sent| sent.at + window >= now)
            .map(|sent| sent.relative_work)
            .sum()
    }
}

/// What a warm server gets of the work that this balancer sends.
pub(crate) struct WarmServerQuota {
    work_rate: DecayingRate,
    per_microsecond: f64,
}

impl WarmServerQuota {
    /// A quota of which nothing is known.
    pub(crate) fn new() -> Self {
        Self {
            work_rate: DecayingRate::new(WORK_RATE_HALF_LIFE),
            per_microsecond: 0.0,
        }
    }

    /// The quota, in relative work per microsecond.
    pub(crate) fn per_microsecond(&self) -> f64 {
        self.per_microsecond
    }

    /// Work was sent to some server.
    pub(crate) fn on_work_sent(&mut self, relative_work: f64, now: Micros) {
        self.work_rate.add(relative_work, now);
    }

    /// Measures the quota anew; `factors` are the slow start factors of the servers in use.
    pub(crate) fn update(&mut self, factors: impl Iterator<Item = f64>, now: Micros) {
        let mut count = 0.0;
        let mut warm = 0.0;
        for factor in factors {
            count += 1.0;
            warm += factor;
        }
        if warm > MIN_WARM_SHARE * count {
            self.per_microsecond = self.work_rate.per_microsecond(now) / warm;
        }
    }
}
