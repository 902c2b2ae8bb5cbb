//! A server as a machine: cores, a queue, slow start, slowdown, contention, failures. No I/O and no
//! clock: both engines hand the time in, so that simulated and emulated servers are the same
//! machine.
//!
//! All running requests progress alike: `running_jobs` has their progress, `service` lets it grow
//! with time at the `speed` of the moment. Slow start, contention and load reports each own their
//! state.

mod contention;
mod health_check_limiter;
mod load_report;
mod running_jobs;
mod service;
mod slow_start;
mod speed;
mod state_change;

use std::collections::VecDeque;

use crate::index::ServerIndex;
use crate::random::{RandomStream, StreamId};
use crate::scenario::{MachineType, Micros, Scenario, from_ms};

use contention::ContentionState;
use health_check_limiter::HealthCheckLimiter;
use load_report::LoadReporter;
use running_jobs::RunningJobs;
use slow_start::{OverloadRule, SlowStart};

pub use load_report::LoadReport;
pub use slow_start::cold_work_limit;

/// Work handed to a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Unique at this server.
    pub id: u64,
    /// Work in microseconds of a standard core.
    pub work: f64,
    /// When its sender stops waiting for it.
    pub deadline: Micros,
}

/// What a server did by itself; the number is the job's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerModelEvent {
    /// A job started to run.
    Started(u64),
    /// A job was completed.
    Completed {
        /// The job.
        id: u64,
        /// Whether it ended in an error.
        error: bool,
    },
    /// A job expired in the queue and was dropped.
    Expired(u64),
    /// The cold server received more work than it bears, and shut down.
    OverloadShutdown,
}

/// What a server has counted since it was built.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Jobs that expired in the queue.
    pub expired: u64,
    /// Jobs that were cancelled, waiting or running.
    pub cancelled: u64,
    /// Most jobs in flight at once, waiting and running.
    pub max_in_flight: usize,
}

/// Whether a server works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It works.
    Up,
    /// It stands still; accepts and answers nothing until it goes on.
    Paused,
    /// It is gone, with all that was in flight.
    Down,
}

/// A server's machine.
#[derive(Debug)]
pub struct ServerModel {
    machine_type: MachineType,
    /// Work of a warm core in a microsecond, in microseconds of a standard core.
    warm_core_speed: f64,
    state: RunState,
    /// Up to when time has passed here.
    now: Micros,
    running: RunningJobs,
    queue: VecDeque<Job>,
    /// Work to be done beside the jobs, in microseconds of a standard core.
    overhead_work: f64,
    /// How many times slower than usual a fault makes it.
    slowdown: f64,
    error_rate: f64,
    slow_start: SlowStart,
    contention: ContentionState,
    connections: usize,
    health_check_limiter: HealthCheckLimiter,
    load_reporter: LoadReporter,
    random: RandomStream,
    /// What it has counted.
    pub counters: Counters,
}

impl ServerModel {
    /// A server of a machine type, at the speed that was drawn for it; up from now on.
    fn new(
        machine_type: MachineType,
        warm_core_speed: f64,
        rule: OverloadRule,
        random: RandomStream,
        now: Micros,
        cold: bool,
    ) -> Self {
        Self {
            warm_core_speed,
            state: RunState::Up,
            now,
            running: RunningJobs::default(),
            queue: VecDeque::new(),
            overhead_work: 0.0,
            slowdown: 1.0,
            error_rate: machine_type.error_rate,
            slow_start: SlowStart::new(rule, cold.then_some(now)),
            contention: ContentionState::default(),
            connections: 0,
            health_check_limiter: HealthCheckLimiter::new(machine_type.health_checks_per_s, now),
            load_reporter: LoadReporter::default(),
            random,
            counters: Counters::default(),
            machine_type,
        }
    }

    /// The scenario's server of this index. Its speed is drawn, alike in both engines.
    pub fn from_scenario(
        scenario: &Scenario,
        machine_type: &MachineType,
        index: ServerIndex,
        now: Micros,
        cold: bool,
    ) -> Self {
        let mut random = RandomStream::new(scenario.seed, StreamId::Machines, index.index() + 1);
        let spread = machine_type.speed_spread;
        let warm_core_speed = machine_type.speed * random.uniform_in(1.0 - spread, 1.0 + spread);
        let rule = OverloadRule {
            factor: scenario.rules.cold_overload_factor,
            window: from_ms(scenario.rules.cold_overload_window_ms),
        };
        let mut server = Self::new(
            machine_type.clone(),
            warm_core_speed,
            rule,
            random,
            now,
            cold,
        );
        server.load_reporter = LoadReporter::new(scenario.load_reports.clone());
        server
    }

    /// Its machine type.
    pub fn machine_type(&self) -> &MachineType {
        &self.machine_type
    }

    /// Whether it works.
    pub fn state(&self) -> RunState {
        self.state
    }

    /// Jobs in flight: those that wait and those that run.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Work that it can do in a microsecond while it warms up, in microseconds of a standard core;
    /// faults and contention are left aside.
    pub fn capacity(&self, now: Micros) -> f64 {
        f64::from(self.machine_type.cores) * self.warm_core_speed * self.slow_start_factor(now)
    }

    /// Accepts a job. False where it is rejected, or overloads a cold server, which shuts down.
    pub fn try_accept(
        &mut self,
        now: Micros,
        job: Job,
        events: &mut Vec<ServerModelEvent>,
    ) -> bool {
        self.advance(now, events);
        if self.is_overloaded_by(now, job.work) {
            self.state = RunState::Down;
            events.push(ServerModelEvent::OverloadShutdown);
            return false;
        }
        // A paused process reads nothing: what comes waits, as it would in its socket.
        let queue_full = self.queue.len() >= self.machine_type.queue;
        let full = queue_full && self.running.len() >= self.slots();
        if self.state == RunState::Down || full {
            return false;
        }
        self.queue.push_back(job);
        self.start_queued_jobs(events);
        self.update_contention();
        self.counters.max_in_flight = self.counters.max_in_flight.max(self.in_flight());
        true
    }
}

#[cfg(test)]
mod tests;
