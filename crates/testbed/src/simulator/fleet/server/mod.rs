//! One simulated server: its model and its reachability over the network.
//!
//! Tracks the attempts that the server has accepted. `Fleet` schedules events and writes the event
//! log, and `state_change` applies faults.

mod state_change;

use std::collections::BTreeMap;

use crate::index::ServerIndex;
use crate::scenario::{MachineType, Micros, Scenario};
use crate::server_model::{Job, RunState, ServerModel, ServerModelEvent};
use crate::simulator::attempts::{Attempt, AttemptKey};
use crate::simulator::event::HealthCheck;

/// How a server reacts to packets.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Reachability {
    /// The process accepts connections.
    Open,
    /// The process has ended: the machine refuses connections.
    Refusing,
    /// The machine is gone: packets are lost without a reply.
    Silent,
}

/// A server: its model, reachability and accepted attempts.
pub(super) struct Server {
    pub(super) model: ServerModel,
    zone: u32,
    reachability: Reachability,
    /// Number that identifies the current process: incremented when a process ends and when one
    /// starts. A connection belongs to the process that opened it.
    start_number: u32,
    /// When the process started; 0 if it started before the run.
    started_at: Micros,
    /// Whether it drains, and rejects new attempts.
    draining: bool,
    /// Accepted attempts, queued or running, by job id.
    jobs: BTreeMap<u64, AttemptKey>,
    /// Attempts that are lost because the machine is gone. They are reset once it is back.
    blackholed: Vec<AttemptKey>,
    /// Fraction of responses that are malformed.
    malformed_share: f64,
    /// Fraction of connections that are reset during an attempt.
    reset_share: f64,
    /// Incremented when the model's next event is rescheduled, so that events which were scheduled
    /// earlier become stale.
    event_generation: u32,
    /// The scheduled time of the model's next event.
    next_event_at: Option<Micros>,
}

impl Server {
    /// Creates a server with a drawn speed. A cold server starts now; a warm server started before
    /// the run.
    pub(super) fn new(
        scenario: &Scenario,
        machine_type: &MachineType,
        index: ServerIndex,
        zone: u32,
        now: Micros,
        cold: bool,
    ) -> Self {
        Self {
            model: ServerModel::from_scenario(scenario, machine_type, index, now, cold),
            zone,
            reachability: Reachability::Open,
            start_number: 0,
            started_at: if cold { now.max(1) } else { 0 },
            draining: false,
            jobs: BTreeMap::new(),
            blackholed: Vec::new(),
            malformed_share: 0.0,
            reset_share: 0.0,
            event_generation: 0,
            next_event_at: None,
        }
    }

    pub(super) fn zone(&self) -> u32 {
        self.zone
    }

    pub(super) fn reachability(&self) -> Reachability {
        self.reachability
    }

    /// Number of the current process start.
    pub(super) fn start_number(&self) -> u32 {
        self.start_number
    }

    /// When the process started, in microseconds; 0 if it started before the run.
    pub(super) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Fraction of responses that are malformed.
    pub(super) fn malformed_share(&self) -> f64 {
        self.malformed_share
    }

    /// Fraction of connections that are reset during an attempt.
    pub(super) fn reset_share(&self) -> f64 {
        self.reset_share
    }

    /// Number of the current process start, to which a new connection would belong; `None` if
    /// connections are refused.
    pub(super) fn start_number_unless_refusing(&self) -> Option<u32> {
        (self.reachability != Reachability::Refusing).then_some(self.start_number)
    }

    /// Opens a connection and returns the start number that it belongs to; `None` if it is refused.
    pub(super) fn try_connect(&mut self) -> Option<u32> {
        let accepted = self.reachability == Reachability::Open && self.model.try_connect();
        accepted.then_some(self.start_number)
    }

    /// Closes a connection to the process of this start number. Connections to earlier processes
    /// ended with them.
    pub(super) fn close_connection(&mut self, start_number: u32) {
        if start_number == self.start_number {
            self.model.on_disconnected();
        }
    }

    /// Offers an attempt's job to the server. Returns false if the server drains, or if its model
    /// rejects the job.
    pub(super) fn try_accept(
        &mut self,
        now: Micros,
        key: AttemptKey,
        attempt: &Attempt,
        events: &mut Vec<ServerModelEvent>,
    ) -> bool {
        let job = Job {
            id: attempt.job(),
            work: attempt.details.work,
            deadline: attempt.details.deadline,
        };
        let accepted = !self.draining && self.model.try_accept(now, job, events);
        if accepted {
            self.jobs.insert(job.id, key);
        }
        accepted
    }

    /// Whether a job is queued or running here.
    pub(super) fn has_job(&self, job: u64) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Removes a job that has ended at the model; returns its attempt.
    pub(super) fn on_job_ended(&mut self, job: u64) -> Option<AttemptKey> {
        self.jobs.remove(&job)
    }

    /// Records an attempt that was sent while the machine is gone.
    pub(super) fn on_blackholed(&mut self, key: AttemptKey) {
        self.blackholed.push(key);
    }

    /// Opens a new connection for a health check that has none. Returns true if the server refuses
    /// the connection, or has reset the open one.
    pub(super) fn fails_to_connect_health_check(&mut self, check: &HealthCheck) -> bool {
        match self.reachability {
            Reachability::Refusing => true,
            Reachability::Open => check.new_connection && !self.model.try_connect(),
            Reachability::Silent => false,
        }
    }

    pub(super) fn answers_health_checks(&self) -> bool {
        self.reachability != Reachability::Silent && self.model.state() == RunState::Up
    }

    /// Closes the connection of a health check that is not answered, if the process is still there.
    pub(super) fn on_unanswered_health_check(&mut self) {
        if self.reachability == Reachability::Open {
            self.model.on_disconnected();
        }
    }

    /// Returns the generation and time of the model's next event for the caller to schedule. `None`
    /// if the event is scheduled already, or if there is no next event.
    pub(super) fn reschedule(&mut self, now: Micros) -> Option<(u32, Micros)> {
        let next = self.model.next_event_at();
        if next == self.next_event_at && next.is_none_or(|at| at > now) {
            return None;
        }
        self.next_event_at = next;
        self.event_generation += 1;
        next.map(|at| (self.event_generation, at))
    }

    /// Advances the model to `now`; returns false if the event of this generation is stale.
    pub(super) fn advance(
        &mut self,
        now: Micros,
        generation: u32,
        events: &mut Vec<ServerModelEvent>,
    ) -> bool {
        let is_current = self.event_generation == generation;
        if is_current {
            self.next_event_at = None;
            self.model.advance(now, events);
        }
        is_current
    }
}
