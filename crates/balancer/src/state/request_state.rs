//! State of a request without a final response, and of its attempts.

#[cfg(test)]
mod tests;

use crate::{ClassId, Endpoint, IncomingRequest, Micros, Outcome, RequestClass, ServerId};

/// Whether an attempt may have executed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It has not ended, and may be executing.
    InFlight,
    /// It ended without having been executed.
    NeverExecuted,
    /// It ended and may have been executed.
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
    /// Returns when the attempt was sent.
    pub(crate) fn sent_at(&self) -> Micros {
        self.sent_at
    }

    /// Returns the zone of its server.
    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    /// Returns the cell of its server.
    pub(crate) fn cell(&self) -> u32 {
        self.cell
    }
}

/// The servers to which a retry may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryScope {
    /// All servers.
    Anywhere,
    /// The servers of one zone.
    Zone(u32),
    /// The servers of one cell.
    Cell(u32),
}

impl RetryScope {
    /// Returns true if the scope contains this server.
    pub(crate) fn contains(self, endpoint: &Endpoint) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Zone(zone) => endpoint.zone == zone,
            Self::Cell(cell) => endpoint.cell == cell,
        }
    }
}

/// State of a request without a final response.
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
    /// Creates the state of a request that has just arrived; `relative_work` is its work relative
    /// to an average request.
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

    /// Returns the request class, which is one of the settings' classes.
    pub(crate) fn class(&self) -> ClassId {
        self.class
    }

    /// Returns when the request arrived.
    pub(crate) fn arrived_at(&self) -> Micros {
        self.arrived_at
    }

    /// Returns when the latency objective ends.
    pub(crate) fn objective_at(&self) -> Micros {
        self.objective_at
    }

    /// Returns the latency objective, in microseconds from the arrival.
    pub(crate) fn objective(&self) -> Micros {
        self.objective_at - self.arrived_at
    }

    /// Returns when the client gives up.
    pub(crate) fn deadline_at(&self) -> Micros {
        self.deadline_at
    }

    /// Returns the work relative to an average request.
    pub(crate) fn relative_work(&self) -> f64 {
        self.relative_work
    }

    /// Returns true once the response has started to stream.
    pub(crate) fn is_streaming(&self) -> bool {
        self.streaming
    }

    /// Returns when the timer is due; a timer that fires at another time has been replaced.
    pub(crate) fn timer_at(&self) -> Micros {
        self.timer_at
    }

    /// Returns the servers whose load was checked for this request.
    pub(crate) fn load_checked(&self) -> &[ServerId] {
        &self.load_checked
    }

    /// Returns the number of attempts so far.
    pub(crate) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight_attempts().count()
    }

    /// Returns the indices of the attempts in flight.
    pub(crate) fn in_flight_attempts(&self) -> impl Iterator<Item = u32> + '_ {
        let in_flight = |attempt: &Attempt| attempt.state == AttemptState::InFlight;
        self.attempts
            .iter()
            .zip(0..)
            .filter(move |(attempt, _)| in_flight(attempt))
            .map(|(_, index)| index)
    }

    /// Returns the first attempt that is executing or may have executed.
    pub(crate) fn first_possible_execution(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NeverExecuted)
    }

    /// Returns the servers of all attempts so far.
    pub(crate) fn tried_servers(&self) -> Vec<ServerId> {
        self.attempts.iter().map(|attempt| attempt.server).collect()
    }

    /// Records a new attempt; returns its index.
    pub(crate) fn on_attempt_sent(&mut self, endpoint: &Endpoint, now: Micros) -> u32 {
        let index = self.attempts.len() as u32;
        self.attempts.push(Attempt {
            server: endpoint.server,
            sent_at: now,
            zone: endpoint.zone,
            cell: endpoint.cell,
            state: AttemptState::InFlight,
        });
        index
    }

    /// Records the end of an attempt; unknown indices are ignored.
    pub(crate) fn on_attempt_ended(&mut self, index: u32, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(index as usize) else {
            return;
        };
        attempt.state = if outcome.never_executed() {
            AttemptState::NeverExecuted
        } else {
            AttemptState::MayHaveExecuted
        };
    }

    /// Records that the response has started to stream.
    pub(crate) fn on_response_started(&mut self) {
        self.streaming = true;
    }

    /// Records that load checks of these servers were started for this request.
    pub(crate) fn on_load_checks_started(&mut self, servers: Vec<ServerId>) {
        self.load_checked.clone_from(&servers);
        self.pending_load_checks = servers;
    }

    /// Records the end of a load check; returns true if it was the last one pending.
    pub(crate) fn on_load_check_ended(&mut self, server: ServerId) -> bool {
        let awaited = self.pending_load_checks.len();
        self.pending_load_checks.retain(|&other| other != server);
        awaited > 0 && self.pending_load_checks.is_empty()
    }

    /// Records the time of the timer.
    pub(crate) fn on_timer_set(&mut self, at: Micros) {
        self.timer_at = at;
    }

    /// Stops waiting for load checks when the timer fires.
    pub(crate) fn on_timer_fired(&mut self) {
        self.pending_load_checks.clear();
    }
}
