//! Capacity of servers in slow start, and the work rate of a warm server.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use crate::estimators::decaying_rate::DecayingRate;
use crate::{Micros, Settings};

/// Half-life of the rate at which work is sent, in microseconds; the same as that of the request
/// rate.
const WORK_RATE_HALF_LIFE: f64 = 5_000_000.0;
/// Fraction of the subset's capacity that must be warm for a warm server's work rate to be
/// measured. Below it the last rate is kept: during a rollout all balancers send to the few warm
/// servers, and what these get is more than a warm server normally gets.
const MIN_WARM_FRACTION: f64 = 0.7;

/// Work sent to a server in slow start.
struct SentWork {
    sent_at: Micros,
    relative_work: f64,
}

/// Slow start of one server.
#[derive(Default)]
pub(crate) struct SlowStartRecord {
    since: Option<Micros>,
    sent: VecDeque<SentWork>,
}

impl SlowStartRecord {
    /// Returns true from the start of the server until it is warm.
    pub(crate) fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Returns the fraction of its capacity that the server is assumed to have, which rises
    /// linearly from the initial capacity to 1.
    pub(crate) fn factor(&self, now: Micros, settings: &Settings) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let age = now.saturating_sub(since) as f64 / settings.slow_start.duration.max(1) as f64;
        (settings.slow_start.initial_capacity + (1.0 - settings.slow_start.initial_capacity) * age)
            .min(1.0)
    }

    /// Begins slow start at `started_at`, unless its duration has already passed.
    pub(crate) fn on_started(
        &mut self,
        started_at: Micros,
        now: Micros,
        slow_start_duration: Micros,
    ) {
        if now < started_at + slow_start_duration {
            self.since = Some(started_at.min(now));
        }
    }

    /// Begins slow start when the server is readmitted, because it may have restarted meanwhile.
    pub(crate) fn on_possible_restart(&mut self, now: Micros) {
        self.since = Some(now);
    }

    /// Ends slow start.
    pub(crate) fn on_warmed_up(&mut self) {
        self.since = None;
        self.sent.clear();
    }

    /// Records work sent to the server during slow start; drops work older than `window`
    /// microseconds.
    pub(crate) fn on_work_sent(&mut self, relative_work: f64, now: Micros, window: Micros) {
        if self.since.is_none() {
            return;
        }
        while self
            .sent
            .front()
            .is_some_and(|sent| sent.sent_at + window < now)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(SentWork {
            sent_at: now,
            relative_work,
        });
    }

    /// Returns the work sent within the last `window` microseconds.
    pub(crate) fn work_sent_within(&self, window: Micros, now: Micros) -> f64 {
        self.sent
            .iter()
            .filter(|sent| sent.sent_at + window >= now)
            .map(|sent| sent.relative_work)
            .sum()
    }
}

/// Rate at which this balancer sends work to one warm server.
pub(crate) struct WarmServerWorkRate {
    total: DecayingRate,
    per_microsecond: f64,
}

impl WarmServerWorkRate {
    /// Creates an estimate without measurements.
    pub(crate) fn new() -> Self {
        Self {
            total: DecayingRate::new(WORK_RATE_HALF_LIFE),
            per_microsecond: 0.0,
        }
    }

    /// Returns the rate, in relative work per microsecond.
    pub(crate) fn per_microsecond(&self) -> f64 {
        self.per_microsecond
    }

    /// Records work sent to any server.
    pub(crate) fn on_work_sent(&mut self, relative_work: f64, now: Micros) {
        self.total.add(relative_work, now);
    }

    /// Recomputes the rate; `factors` are the slow start factors of the servers in use.
    pub(crate) fn update(&mut self, factors: impl Iterator<Item = f64>, now: Micros) {
        let mut count = 0.0;
        let mut warm_capacity = 0.0;
        for factor in factors {
            count += 1.0;
            warm_capacity += factor;
        }
        if warm_capacity > MIN_WARM_FRACTION * count {
            self.per_microsecond = self.total.per_microsecond(now) / warm_capacity;
        }
    }
}
