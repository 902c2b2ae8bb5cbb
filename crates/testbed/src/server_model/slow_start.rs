//! Slow start: the capacity of a cold server, and how much work overloads it.
//!
//! Tracks since when a server is cold and the work it has been sent recently. `ServerModel` shuts
//! the server down.

use std::collections::VecDeque;

use super::ServerModel;
use crate::conversion::f64_from_u64;
use crate::scenario::{MachineType, Micros, from_s};

/// The limit on the work that a cold server may be sent without shutting down.
#[derive(Clone, Copy, Debug)]
pub(super) struct OverloadRule {
    /// Multiple of the server's capacity.
    pub(super) factor: f64,
    /// Window over which work is summed up, in microseconds.
    pub(super) window: Micros,
}

/// Slow start state: since when a server is cold, and the work it has been sent since.
#[derive(Debug)]
pub(super) struct SlowStart {
    rule: OverloadRule,
    /// When the process started cold; absent for a server that was warm from the beginning.
    cold_since: Option<Micros>,
    /// Jobs completed since then.
    completed: u64,
    /// Jobs sent within the rule's window while cold: time and work.
    cold_work: VecDeque<(Micros, f64)>,
}

impl SlowStart {
    pub(super) fn new(rule: OverloadRule, cold_since: Option<Micros>) -> Self {
        Self {
            rule,
            cold_since,
            completed: 0,
            cold_work: VecDeque::new(),
        }
    }

    /// Fraction of its warm capacity that the server has. It grows with time or with completed
    /// jobs, whichever is faster.
    fn capacity_factor(&self, machine_type: &MachineType, now: Micros) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let slow_start_time = from_s(machine_type.slow_start_s).max(1);
        let by_time = f64_from_u64(now.saturating_sub(since)) / f64_from_u64(slow_start_time);
        let by_requests = match machine_type.warm_requests {
            0 => 0.0,
            warm_requests => f64_from_u64(self.completed) / f64_from_u64(warm_requests),
        };
        let cold_share = machine_type.cold_capacity_share;
        (cold_share + (1.0 - cold_share) * by_time.max(by_requests)).min(1.0)
    }

    pub(super) fn on_completed(&mut self) {
        self.completed += 1;
    }

    pub(super) fn on_restarted(&mut self, now: Micros) {
        self.cold_since = Some(now);
        self.completed = 0;
        self.cold_work.clear();
    }

    /// Counts a job sent to the cold server of this capacity. Returns true if the work within the
    /// window then exceeds the limit.
    fn count_cold_work(&mut self, now: Micros, work: f64, capacity: f64) -> bool {
        let OverloadRule { factor, window } = self.rule;
        self.cold_work.push_back((now, work));
        while self
            .cold_work
            .front()
            .is_some_and(|(at, _)| *at + window <= now)
        {
            self.cold_work.pop_front();
        }
        let sent: f64 = self.cold_work.iter().map(|(_, work)| work).sum();
        sent > cold_work_limit(factor, capacity, window, work)
    }
}

impl ServerModel {
    pub(super) fn slow_start_factor(&self, now: Micros) -> f64 {
        self.slow_start.capacity_factor(&self.machine_type, now)
    }

    /// Whether the server is still warming up.
    pub fn is_cold(&self, now: Micros) -> bool {
        self.slow_start_factor(now) < 1.0
    }

    /// Counts a job that arrives now. Returns true if it overloads a cold server.
    pub(super) fn is_overloaded_by(&mut self, now: Micros, work: f64) -> bool {
        if !self.is_cold(now) {
            self.slow_start.cold_work.clear();
            return false;
        }
        let capacity = self.capacity(now);
        self.slow_start.count_cold_work(now, work, capacity)
    }
}

/// Work that a cold server may be sent within the window of the overload rule, in microseconds of a
/// standard core. Two jobs as large as the latest one, `job_work`, are allowed on top, so that the
/// rule catches sustained load and not a single large job that arrives by chance.
pub fn cold_work_limit(factor: f64, capacity: f64, window: Micros, job_work: f64) -> f64 {
    factor * capacity * f64_from_u64(window) + 2.0 * job_work
}
