//! One server: its model, and what the network does for it.
//!
//! Owns whether it is reached and which attempts it works on. Schedules and records nothing: that
//! is `Fleet`'s. What a fault changes is `state_change`.

mod state_change;

use std::collections::BTreeMap;

use crate::index::ServerIndex;
use crate::scenario::{MachineType, Micros, Scenario};
use crate::server_model::{Job, RunState, ServerModel, ServerModelEvent};
use crate::simulator::attempts::{Attempt, AttemptKey};
use crate::simulator::event::HealthCheck;

/// How the network answers for a server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Reachability {
    /// Its process answers.
    Open,
    /// Its process is gone: connections are refused.
    Refusing,
    /// Its machine is gone: nothing responds.
    Silent,
}

/// A server: its model, and what the network does for it.
pub(super) struct Server {
    pub(super) model: ServerModel,
    zone: u32,
    reachability: Reachability,
    /// Counts its starts: connections belong to one.
    start: u32,
    /// When its process started; 0 where it was there before the run.
    started_at: Micros,
    /// It rejects what is new.
    draining: bool,
    /// Attempts that it works on, by their jobs.
    jobs: BTreeMap<u64, AttemptKey>,
    /// Attempts that were sent into silence.
    blackholed: Vec<AttemptKey>,
    /// Share of its responses that is malformed.
    malformed_share: f64,
    /// Share of its connections that is reset during a request.
    reset_share: f64,
    /// Counts the changes of its next event: only the last one counts.
    event_generation: u32,
    /// When its model has something to do by itself.
    next_event_at: Option<Micros>,
}

impl Server {
    /// A server of a machine type, its speed drawn; a cold one has been started now.
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
            start: 0,
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

    /// The number of its present start.
    pub(super) fn start(&self) -> u32 {
        self.start
    }

    /// When its process started, in microseconds; 0 where it was there before the run.
    pub(super) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Share of its responses that is malformed.
    pub(super) fn malformed_share(&self) -> f64 {
        self.malformed_share
    }

    /// Share of its connections that is reset amid a request.
    pub(super) fn reset_share(&self) -> f64 {
        self.reset_share
    }

    /// The start to which new connections belong; absent where they are refused.
    pub(super) fn open_start(&self) -> Option<u32> {
        (self.reachability != Reachability::Refusing).then_some(self.start)
    }

    /// Opens a connection and gives its start; nothing where it is refused.
    pub(super) fn try_connect(&mut self) -> Option<u32> {
        let accepted = self.reachability == Reachability::Open && self.model.try_connect();
        accepted.then_some(self.start)
    }

    /// A connection that belongs to a start is closed; one to an earlier start went with it.
    pub(super) fn close_connection(&mut self, start: u32) {
        if start == self.start {
            self.model.on_disconnected();
        }
    }

    /// Accepts an attempt's job; false where the server drains, or its model rejects the job.
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
            deadline: attempt.details.due,
        };
        let accepted = !self.draining && self.model.try_accept(now, job, events);
        if accepted {
            self.jobs.insert(job.id, key);
        }
        accepted
    }

    /// Whether it works on a job, or has it in its queue.
    pub(super) fn has_job(&self, job: u64) -> bool {
        self.jobs.contains_key(&job)
    }

    /// A job is over at its model; gives back the attempt.
    pub(super) fn on_job_ended(&mut self, job: u64) -> Option<AttemptKey> {
        self.jobs.remove(&job)
    }

    /// An attempt was sent to it while its machine is gone.
    pub(super) fn on_blackholed(&mut self, key: AttemptKey) {
        self.blackholed.push(key);
    }

    /// Whether a health check's connection is refused; one that is accepted takes a place.
    pub(super) fn refuses_health_check(&mut self, check: &HealthCheck) -> bool {
        match self.reachability {
            Reachability::Refusing => true,
            Reachability::Open => check.new_connection && !self.model.try_connect(),
            Reachability::Silent => false,
        }
    }

    pub(super) fn answers_health_checks(&self) -> bool {
        self.reachability != Reachability::Silent && self.model.state() == RunState::Up
    }

    /// The health check's connection is closed, where there is anybody to close it.
    pub(super) fn on_unanswered_health_check(&mut self) {
        if self.reachability == Reachability::Open {
            self.model.on_disconnected();
        }
    }

    /// Whether its model's next event has moved since it was scheduled; then gives the number and
    /// the time of the new one, which is absent where there is none.
    pub(super) fn reschedule(&mut self, now: Micros) -> Option<(u32, Micros)> {
        let next = self.model.next_event_at();
        if next == self.next_event_at && next.is_none_or(|at| at > now) {
            return None;
        }
        self.next_event_at = next;
        self.event_generation += 1;
        next.map(|at| (self.event_generation, at))
    }

    /// Its model does what is due; false where the event of this number is stale.
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
