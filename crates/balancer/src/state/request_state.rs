//! A request without a final response yet, and its attempts.

#[cfg(test)]
mod tests;

use crate::{ClassId, Endpoint, IncomingRequest, Micros, Outcome, RequestClass, ServerId};

/// Whether an attempt can have had an effect.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It may be executing.
    InFlight,
    /// It ended and had no effect.
    NeverExecuted,
    /// It ended and may have had its effect.
    MayHaveExecuted,
}

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    server: ServerId,
    sent_at: Micros,
    zone: u32,
    cell: u32,
    state: AttemptState,
}

impl Attempt {
    /// When it was sent.
    pub(crate) fn sent_at(&self) -> Micros {
        self.sent_at
    }

    /// Zone of its server.
    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    /// Cell of its server.
    pub(crate) fn cell(&self) -> u32 {
        self.cell
    }
}

/// The servers to which a retry may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryScope {
    /// All servers.
    Anywhere,
    /// Those of one zone.
    Zone(u32),
    /// Those of one cell.
    Cell(u32),
}

impl RetryScope {
    /// True where the scope covers this server.
    pub(crate) fn contains(self, endpoint: &Endpoint) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Zone(zone) => endpoint.zone == zone,
            Self::Cell(cell) => endpoint.cell == cell,
        }
    }
}

/// A request without a final response yet.
pub(crate) struct RequestState {
    class: ClassId,
    arrived_at: Micros,
    objective_at: Micros,
    deadline_at: Micros,
    relative_work: f64,
    attempts: Vec<Attempt>,
    load_checked: Vec<ServerId>,
    pending_load_checks: Vec<ServerId>,
    streaming: bool,
    timer_at: Micros,
}

impl RequestState {
    /// A request that has just arrived; `relative_work` is its work against a usual request.
    pub(crate) fn new(
        request: &IncomingRequest,
        class: &RequestClass,
        relative_work: f64,
        now: Micros,
    ) -> Self {
        let hint = request.work_hint.unwrap_or(0) as f64;
        let objective = class.latency_objective + (class.objective_per_work * hint) as Micros;
        Self {
            class: request.class,
            arrived_at: now,
            objective_at: now + objective.min(class.deadline).min(request.time_left),
            deadline_at: now + request.time_left,
            relative_work,
            attempts: Vec::new(),
            load_checked: Vec::new(),
            pending_load_checks: Vec::new(),
            streaming: false,
            timer_at: 0,
        }
    }

    /// Its class, which exists.
    pub(crate) fn class(&self) -> ClassId {
        self.class
    }

    /// When it arrived.
    pub(crate) fn arrived_at(&self) -> Micros {
        self.arrived_at
    }

    /// When its latency objective ends.
    pub(crate) fn objective_at(&self) -> Micros {
        self.objective_at
    }

    /// Microseconds from its arrival to its latency objective.
    pub(crate) fn objective(&self) -> Micros {
        self.objective_at - self.arrived_at
    }

    /// When its client gives up.
    pub(crate) fn deadline_at(&self) -> Micros {
        self.deadline_at
    }

    /// Its work against that of a usual request.
    pub(crate) fn relative_work(&self) -> f64 {
        self.relative_work
    }

    /// True once its response has started to stream.
    pub(crate) fn is_streaming(&self) -> bool {
        self.streaming
    }

    /// When its timer is due; a timer that fires at another time is void.
    pub(crate) fn timer_at(&self) -> Micros {
        self.timer_at
    }

    /// Servers whose load was requested for it.
    pub(crate) fn load_checked(&self) -> &[ServerId] {
        &self.load_checked
    }

    /// Number of attempts so far.
    pub(crate) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Number of attempts without an end.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight_attempts().count()
    }

    /// Numbers of the attempts without an end.
    pub(crate) fn in_flight_attempts(&self) -> impl Iterator<Item = u32> + '_ {
        let in_flight = |attempt: &Attempt| attempt.state == AttemptState::InFlight;
        self.attempts
            .iter()
            .zip(0..)
            .filter(move |(attempt, _)| in_flight(attempt))
            .map(|(_, number)| number)
    }

    /// The first attempt that is executing or may have executed.
    pub(crate) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NeverExecuted)
    }

    /// The servers of its attempts.
    pub(crate) fn tried_servers(&self) -> Vec<ServerId> {
        self.attempts.iter().map(|attempt| attempt.server).collect()
    }

    /// An attempt was sent; returns its number.
    pub(crate) fn on_attempt_sent(&mut self, endpoint: &Endpoint, now: Micros) -> u32 {
        let number = self.attempts.len() as u32;
        self.attempts.push(Attempt {
            server: endpoint.server,
            sent_at: now,
            zone: endpoint.zone,
            cell: endpoint.cell,
            state: AttemptState::InFlight,
        });
        number
    }

    /// An attempt ended; unknown numbers are ignored.
    pub(crate) fn on_attempt_ended(&mut self, number: u32, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(number as usize) else {
            return;
        };
        attempt.state = if outcome.never_executed() {
            AttemptState::NeverExecuted
        } else {
            AttemptState::MayHaveExecuted
        };
    }

    /// Its response started to stream.
    pub(crate) fn on_response_started(&mut self) {
        self.streaming = true;
    }

    /// The load of these servers was requested for it.
    pub(crate) fn on_load_checks_started(&mut self, servers: Vec<ServerId>) {
        self.load_checked.clone_from(&servers);
        self.pending_load_checks = servers;
    }

    /// A load check ended; true where it was the last one awaited.
    pub(crate) fn on_load_check_ended(&mut self, server: ServerId) -> bool {
        let awaited = self.pending_load_checks.len();
        self.pending_load_checks.retain(|&other| other != server);
        awaited > 0 && self.pending_load_checks.is_empty()
    }

    /// Its timer was set.
    pub(crate) fn on_timer_set(&mut self, at: Micros) {
        self.timer_at = at;
    }

    /// Its timer fired before the load checks ended.
    pub(crate) fn on_timer_fired(&mut self) {
        self.pending_load_checks.clear();
    }
}
