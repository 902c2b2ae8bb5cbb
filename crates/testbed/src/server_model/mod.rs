//! A job server as a machine: cores, a queue, warm-up, slowdown, choking, failures. No I/O and no clock: both
//! engines hand the time in, so that the model and the stage's stand-ins are the same machine.
//!
//! All running requests progress alike. `progress` is the work that one core has done for a request that has run
//! all along; a request ends once it has grown by the request's work. Pauses, warm-up and slowdown change only
//! the speed at which it grows.

mod contention;
mod load_report;
mod service;
mod slow_start;
mod state_change;

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::random::{RandomStream, StreamId};
use crate::scenario::{Cancel, MachineType, Micros, Reports, Scenario, from_ms, from_s};

use contention::Choking;
pub use load_report::Report;
pub use slow_start::budget;

/// Work handed to a machine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Unique on this machine.
    pub id: u64,
    /// Work in microseconds of a standard core.
    pub work: f64,
    /// When nobody waits for it any more.
    pub until: Micros,
}

/// What a machine did by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// It began to run.
    Began(u64),
    /// It ran to its end; an error if so.
    Ended { id: u64, error: bool },
    /// It was dropped from the queue unseen.
    Dropped(u64),
    /// The cold machine was sent more than it bears and has fallen over.
    Fell,
}

/// What a machine has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Done {
    pub offered: u64,
    pub turned_away: u64,
    pub served: u64,
    pub errors: u64,
    pub dropped: u64,
    pub stopped: u64,
    pub probes: u64,
    pub probes_turned_away: u64,
    /// Work done, in microseconds of a standard core, whoever had use of it.
    pub work: f64,
    /// Most requests held at once.
    pub held_most: usize,
    /// Time spent choked.
    pub choked: Micros,
}

/// How it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Stands still; takes in and answers nothing until it goes on.
    Paused,
    Down,
}

/// A job server's machine.
#[derive(Debug)]
pub struct ServerModel {
    kind: MachineType,
    speed: f64,
    state: State,
    at: Micros,
    progress: f64,
    running: BTreeMap<(u64, u64), Micros>,
    ends: HashMap<u64, u64>,
    queue: VecDeque<Job>,
    /// Work that has to be done beside the requests.
    debt: f64,
    slower: f64,
    error_rate: f64,
    cold_since: Option<Micros>,
    served_cold: u64,
    crowded: Option<Micros>,
    choking: Option<Choking>,
    connections: usize,
    probe_tokens: f64,
    probe_at: Micros,
    errors: VecDeque<Micros>,
    report: (Micros, Report),
    /// How answers tell of load, and what was held when that was last taken.
    tells: Reports,
    taken: VecDeque<(Micros, usize)>,
    /// What was sent lately, while cold: time and work.
    pressure: VecDeque<(Micros, f64)>,
    fall: (f64, Micros),
    chance: RandomStream,
    /// Counts.
    pub done: Done,
}

impl ServerModel {
    /// A machine of a kind; `speed` as drawn for it, `fall` the multiple and span of the fourth rule.
    pub fn new(
        kind: MachineType,
        speed: f64,
        fall: (f64, Micros),
        chance: RandomStream,
        now: Micros,
        cold: bool,
    ) -> Self {
        let (error_rate, probe_tokens) = (kind.error_rate, kind.health_checks_per_s);
        Self {
            kind,
            speed,
            state: State::Up,
            at: now,
            progress: 0.0,
            running: BTreeMap::new(),
            ends: HashMap::new(),
            queue: VecDeque::new(),
            debt: 0.0,
            slower: 1.0,
            error_rate,
            cold_since: cold.then_some(now),
            served_cold: 0,
            crowded: None,
            choking: None,
            connections: 0,
            probe_tokens,
            probe_at: now,
            errors: VecDeque::new(),
            report: (0, Report::default()),
            tells: Reports::default(),
            taken: VecDeque::new(),
            pressure: VecDeque::new(),
            fall,
            chance,
            done: Done::default(),
        }
    }

    /// The day's machine of that number, its speed drawn: the same in both engines.
    pub fn drawn(
        day: &Scenario,
        kind: &MachineType,
        number: usize,
        now: Micros,
        cold: bool,
    ) -> Self {
        let mut chance = RandomStream::new(day.seed, StreamId::Machines, number + 1);
        let speed = kind.speed * chance.between(1.0 - kind.speed_spread, 1.0 + kind.speed_spread);
        let fall = (
            day.rules.cold_overload_factor,
            from_ms(day.rules.cold_overload_window_ms),
        );
        let new = Self::new(kind.clone(), speed, fall, chance, now, cold);
        Self {
            tells: day.load_reports.clone(),
            ..new
        }
    }

    pub fn kind(&self) -> &MachineType {
        &self.kind
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn held(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Work it can do in a microsecond as it stands, trouble left aside: what the fourth rule is held against.
    pub fn capacity(&self, now: Micros) -> f64 {
        f64::from(self.kind.cores) * self.speed * self.warmth(now)
    }

    /// Takes in a request; false if it is turned away unseen. `now` must have been advanced to.
    pub fn offer(&mut self, now: Micros, job: Job, events: &mut Vec<Event>) -> bool {
        self.advance(now, events);
        self.done.offered += 1;
        if self.presses(now, job.work) {
            self.state = State::Down;
            events.push(Event::Fell);
            self.done.turned_away += 1;
            return false;
        }
        // A paused process reads nothing: what comes waits, as it would in its socket.
        let full = self.queue.len() >= self.kind.queue && self.running.len() >= self.slots();
        if self.state == State::Down || full {
            self.done.turned_away += 1;
            return false;
        }
        self.queue.push_back(job);
        self.fill(events);
        self.watch_crowd();
        self.done.held_most = self.done.held_most.max(self.held());
        true
    }
}

#[cfg(test)]
mod tests;
