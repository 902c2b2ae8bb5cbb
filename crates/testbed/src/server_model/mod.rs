//! Model of a server: cores, a queue, slow start, slowdown, contention and failures. It does no I/O
//! and reads no clock: the simulator and the emulator pass in the time, so that both run the same
//! server.
//!
//! All running jobs progress at the same rate (processor sharing): `running_jobs` stores their
//! progress, and `job_progress` advances it over time at the rate that `speed` computes.
//! `slow_start`, `contention`, `load_report` and `health_check_limiter` have the model's other
//! parts, and `state_change` changes its state.

mod contention;
mod health_check_limiter;
mod job_progress;
mod load_report;
mod running_jobs;
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

/// A request as the server model sees it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Unique at this server.
    pub id: u64,
    /// Work in microseconds of a standard core.
    pub work: f64,
    /// When the sender stops waiting for the response.
    pub deadline: Micros,
}

/// An event that the model reports to its caller. Numbers are job ids.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerModelEvent {
    /// A job started to run.
    Started(u64),
    /// A job completed.
    Completed {
        /// Id of the job.
        id: u64,
        /// Whether it failed with an error response.
        error: bool,
    },
    /// A job's deadline passed in the queue, and the job was dropped.
    Expired(u64),
    /// The cold server received more work than the overload rule allows, and shut down.
    OverloadShutdown,
}

/// Counts since the model was created.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Jobs dropped because their deadline passed in the queue.
    pub expired: u64,
    /// Jobs cancelled while queued or running.
    pub cancelled: u64,
    /// Maximum number of jobs in flight (queued and running).
    pub max_in_flight: usize,
}

/// Whether a server's process is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Running.
    Up,
    /// Stopped for a time: no job progresses and nothing is answered until it resumes.
    Paused,
    /// Not running; all jobs in flight are lost.
    Down,
}

/// State of one modelled server.
#[derive(Debug)]
pub struct ServerModel {
    machine_type: MachineType,
    /// Work that a warm core does per microsecond, in microseconds of a standard core.
    warm_core_speed: f64,
    state: RunState,
    /// The time up to which the model has been advanced.
    now: Micros,
    running: RunningJobs,
    queue: VecDeque<Job>,
    /// Work still to be done for handshakes and health checks, in microseconds of a standard core.
    overhead_work: f64,
    /// Factor by which a fault slows the server; 1 for none.
    slowdown: f64,
    error_rate: f64,
    slow_start: SlowStart,
    contention: ContentionState,
    connections: usize,
    health_check_limiter: HealthCheckLimiter,
    load_reporter: LoadReporter,
    random: RandomStream,
    /// Counts since the model was created.
    pub counters: Counters,
}

impl ServerModel {
    /// A server that starts now, with a core speed already drawn.
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

    /// The scenario's server of this index. Its speed is drawn from the scenario's seed, so that
    /// the simulator and the emulator use the same one.
    pub fn from_scenario(
        scenario: &Scenario,
        machine_type: &MachineType,
        index: ServerIndex,
        now: Micros,
        cold: bool,
    ) -> Self {
        let mut random = RandomStream::new(scenario.seed, StreamId::Servers, index.index() + 1);
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

    /// The machine type that the server runs on.
    pub fn machine_type(&self) -> &MachineType {
        &self.machine_type
    }

    /// Whether the server is up, paused or down.
    pub fn state(&self) -> RunState {
        self.state
    }

    /// Jobs in flight: queued and running.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Work that the server can do per microsecond with slow start taken into account, in
    /// microseconds of a standard core. Faults and contention are ignored.
    pub fn capacity(&self, now: Micros) -> f64 {
        f64::from(self.machine_type.cores) * self.warm_core_speed * self.slow_start_factor(now)
    }

    /// Offers a job to the server. Returns false if the job is rejected, or if it overloads a cold
    /// server, which then shuts down.
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
        // A paused process reads nothing, so jobs wait in the queue as they would in its socket.
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
