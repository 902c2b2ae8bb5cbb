//! An attempt's way back: its response, its reset, its timeout.

use std::collections::VecDeque;

use arrowstand_balancer::Outcome;

use crate::event_log::LogEvent;
use crate::index::ServerIndex;
use crate::simulator::Simulator;
use crate::simulator::event::SimulatorEvent;
use crate::simulator::request::AttemptKey;

impl Simulator<'_> {
    /// A server has done an attempt's work; `failed` where it ends in an error.
    pub(super) fn on_work_done(&mut self, server_index: ServerIndex, job: u64, failed: bool) {
        let now = self.context.now();
        let server = &mut self.servers[server_index.index()];
        let Some(key) = server.jobs.remove(&job) else {
            return;
        };
        let Some(attempt) = self.open.attempts.get_mut(key) else {
            return;
        };
        attempt.reported_in_flight = server.model.response_report(now);
        // Drawn whether or not the connection breaks, so that one fault moves no other's draws.
        let malformed = self.server_random.chance(server.malformed_share);
        let outcome = if attempt.reset_pending || malformed {
            Outcome::Reset
        } else if failed {
            Outcome::ServerError
        } else {
            Outcome::Served
        };
        let (ended, delay) = (attempt.ended, attempt.delay);
        let done = LogEvent::WorkDone {
            request: attempt.request_number,
            server: server_index,
            work: attempt.work,
        };
        self.context.record(done);
        if ended {
            self.open.attempts.remove(key);
        } else {
            let result = SimulatorEvent::ResultAtSidecar(key, outcome);
            self.context.after(delay, result);
        }
    }

    /// The connections of attempts are reset by their server.
    pub(in crate::simulator) fn reset_attempts(&mut self, attempts: Vec<AttemptKey>) {
        for key in attempts {
            if let Some(attempt) = self.open.attempts.get(key) {
                let reset = SimulatorEvent::ResultAtSidecar(key, Outcome::Reset);
                self.context.after(attempt.delay, reset);
            }
        }
    }

    /// Removes an attempt that has ended; one that has not waits for its timeout.
    pub(super) fn remove_if_ended(&mut self, key: AttemptKey) {
        if self
            .open
            .attempts
            .get(key)
            .is_some_and(|attempt| attempt.ended)
        {
            self.open.attempts.remove(key);
        }
    }

    /// The end of an attempt is at its sidecar.
    pub(in crate::simulator) fn on_result_at_sidecar(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(attempt) = self.open.attempts.get_mut(key) else {
            return;
        };
        if !attempt.ended {
            let (sidecar, server) = (attempt.sidecar, attempt.server);
            if let Some(start) = attempt.connection.take() {
                if is_complete_response(outcome) {
                    let now = self.context.now();
                    self.keep_connection(sidecar, server, now, start);
                } else {
                    self.servers[server.index()].close_connection(start);
                }
            }
            let mut events = VecDeque::new();
            self.end_attempt(key, outcome, &mut events);
            self.handle_balancer_events(sidecar, events);
        }
        self.open.attempts.remove(key);
    }

    /// An attempt's time is over, or its connection did not open in time.
    pub(in crate::simulator) fn on_attempt_timeout(&mut self, key: AttemptKey) {
        let Some(attempt) = self.open.attempts.get(key) else {
            return;
        };
        // The timeout of the connection, which has opened since.
        let is_early = attempt.written && self.context.now() < attempt.due;
        if attempt.ended || is_early {
            return;
        }
        let (sidecar, server, job) = (attempt.sidecar, attempt.server, attempt.job);
        let outcome = if attempt.written {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        };
        self.close_attempt_connection(key);
        let mut events = VecDeque::new();
        self.end_attempt(key, outcome, &mut events);
        self.handle_balancer_events(sidecar, events);
        let works_on_it = self.servers[server.index()].jobs.contains_key(&job);
        if !works_on_it && outcome == Outcome::ConnectFailed {
            self.open.attempts.remove(key);
        }
    }
}

/// Whether an attempt ended with a complete response, after which its connection can be used again.
fn is_complete_response(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Served | Outcome::ServerError | Outcome::Rejected
    )
}
