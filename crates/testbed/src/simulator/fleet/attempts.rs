//! Handles an attempt at its server: connection, acceptance or rejection, completion and
//! cancellation.

use arrowstand_balancer::Outcome;

use super::Fleet;
use super::server::Reachability;
use crate::event_log::LogEvent;
use crate::index::ServerIndex;
use crate::simulator::attempts::{Attempt, AttemptKey, Attempts};
use crate::simulator::context::Context;
use crate::simulator::event::{Cancellation, SimulatorEvent};

impl Fleet {
    /// Handles the first packet of a new connection at the server.
    pub(in crate::simulator) fn on_connect(
        &mut self,
        key: AttemptKey,
        attempts: &mut Attempts,
        context: &mut Context<'_>,
    ) {
        let Some(attempt) = attempts.get_mut(key) else {
            return;
        };
        let server = self.server_mut(attempt.details.server);
        if server.reachability() == Reachability::Silent {
            return;
        }
        if attempt.has_ended() {
            attempts.remove(key);
            return;
        }
        if let Some(start_number) = server.try_connect() {
            attempt.on_connected(start_number);
            let open = SimulatorEvent::ConnectionOpen(attempt.details.sidecar, key);
            context.schedule_after(attempt.details.delay, open);
        } else {
            send_result(key, attempt, Outcome::ConnectFailed, context);
        }
    }

    /// Handles an attempt whose last byte is at the server.
    pub(in crate::simulator) fn on_attempt(
        &mut self,
        key: AttemptKey,
        attempts: &mut Attempts,
        context: &mut Context<'_>,
    ) {
        let Some(attempt) = attempts.get(key) else {
            return;
        };
        // The connection was closed before the whole attempt had arrived.
        if attempt.has_ended() && attempt.opens_connection() {
            attempts.remove(key);
            return;
        }
        let server = self.server_mut(attempt.details.server);
        let start_number = server.start_number();
        if server.reachability() == Reachability::Silent {
            server.on_blackholed(key);
        } else if server.start_number_unless_refusing().is_none()
            || attempt
                .connection()
                .is_some_and(|number| number != start_number)
        {
            send_result(key, attempt, Outcome::Reset, context);
        } else {
            self.deliver(key, attempts, context);
        }
    }

    /// Passes an attempt to the server, which accepts or rejects it.
    fn deliver(&mut self, key: AttemptKey, attempts: &mut Attempts, context: &mut Context<'_>) {
        let Some(attempt) = attempts.get_mut(key) else {
            return;
        };
        let now = context.now();
        let server = &mut self.servers[attempt.details.server.index()];
        let capacity = server.model.capacity(now);
        let cold = server.model.is_cold(now);
        attempt.on_received(self.random.bernoulli(server.reset_share()));
        if attempt.opens_connection() {
            server.model.on_handshake(now, &mut self.model_events);
        }
        let accepted = server.try_accept(now, key, attempt, &mut self.model_events);
        record_received(attempt, capacity, cold, context);
        if !accepted {
            reject(key, attempt, context);
        }
        let server = attempt.details.server;
        self.apply_model_events(server, attempts, context);
    }

    /// Handles the completion of an attempt's work; `failed` if it ended in an error.
    pub(super) fn on_work_done(
        &mut self,
        server_index: ServerIndex,
        job: u64,
        failed: bool,
        attempts: &mut Attempts,
        context: &mut Context<'_>,
    ) {
        let server = &mut self.servers[server_index.index()];
        let Some(key) = server.on_job_ended(job) else {
            return;
        };
        let Some(attempt) = attempts.get_mut(key) else {
            return;
        };
        attempt.on_work_done(server.model.response_load_report(context.now()));
        // Drawn even if the connection is reset: later draws must not depend on that.
        let malformed = self.random.bernoulli(server.malformed_share());
        context.record(LogEvent::WorkDone {
            request: attempt.details.request,
            server: server_index,
            work: attempt.details.work,
        });
        if attempt.has_ended() {
            attempts.remove(key);
        } else {
            let outcome = response_outcome(attempt, malformed, failed);
            send_result(key, attempt, outcome, context);
        }
    }

    /// Handles the closing of an attempt's connection, as the server detects it.
    pub(in crate::simulator) fn on_cancellation(
        &mut self,
        cancellation: &Cancellation,
        attempts: &mut Attempts,
        context: &mut Context<'_>,
    ) {
        let server = &mut self.servers[cancellation.server.index()];
        let is_open = server.reachability() == Reachability::Open;
        if server.start_number() != cancellation.server_start_number || !is_open {
            return;
        }
        let job = cancellation.job;
        let never_runs = server
            .model
            .cancel(context.now(), job, &mut self.model_events);
        if never_runs && let Some(key) = server.on_job_ended(job) {
            attempts.remove_if_ended(key);
        }
        self.apply_model_events(cancellation.server, attempts, context);
    }
}

/// The outcome that a sidecar sees for an attempt whose work is done.
fn response_outcome(attempt: &Attempt, malformed: bool, failed: bool) -> Outcome {
    if attempt.is_reset_pending() || malformed {
        Outcome::Reset
    } else if failed {
        Outcome::ServerError
    } else {
        Outcome::Served
    }
}

fn record_received(attempt: &Attempt, capacity: f64, cold: bool, context: &mut Context<'_>) {
    let details = &attempt.details;
    let server = details.server;
    if attempt.opens_connection() {
        context.record(LogEvent::ConnectionOpened { server });
    }
    context.record(LogEvent::AttemptReceived {
        request: details.request,
        server,
        work: details.work,
        capacity,
        cold,
    });
}

fn reject(key: AttemptKey, attempt: &Attempt, context: &mut Context<'_>) {
    let details = &attempt.details;
    context.record(LogEvent::AttemptRejected {
        request: details.request,
        server: details.server,
    });
    send_result(key, attempt, Outcome::Rejected, context);
}

/// Resets the connections of attempts that their server has lost.
pub(super) fn reset_attempts(
    lost: Vec<AttemptKey>,
    attempts: &Attempts,
    context: &mut Context<'_>,
) {
    for key in lost {
        if let Some(attempt) = attempts.get(key) {
            send_result(key, attempt, Outcome::Reset, context);
        }
    }
}

/// Sends the outcome of an attempt to its sidecar.
fn send_result(key: AttemptKey, attempt: &Attempt, outcome: Outcome, context: &mut Context<'_>) {
    let details = &attempt.details;
    let result = SimulatorEvent::AttemptResultAtSidecar(details.sidecar, key, outcome);
    context.schedule_after(details.delay, result);
}
