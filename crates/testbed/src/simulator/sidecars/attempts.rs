//! An attempt at its sidecar: sent on a connection that was kept or a new one, and ended.
//!
//! Its connection is `connecting`'s; what its server makes of it is `fleet`'s.

use std::collections::VecDeque;

use arrowstand_balancer::{
    AttemptEnd, Event as BalancerEvent, LoadReport, Outcome, RequestId, ServerId,
};

use super::connecting::{close_connection, schedule};
use super::environment::Environment;
use super::requests::OpenRequest;
use super::sidecar::Sidecar;
use crate::conversion::u32_from_count;
use crate::event_log::RequestOutcome;
use crate::index::{RequestNumber, ServerIndex};
use crate::scenario::Micros;
use crate::simulator::attempts::{Attempt, AttemptDetails, AttemptKey};

impl Sidecar {
    /// Sends an attempt of an open request; `timeout` is cut to the time that the request has left.
    pub(super) fn send_attempt(
        &mut self,
        number: RequestNumber,
        server: ServerIndex,
        timeout: Option<Micros>,
        events: &mut VecDeque<BalancerEvent>,
        environment: &mut Environment<'_, '_>,
    ) {
        let Some(open) = self.open_requests.get(&number) else {
            return;
        };
        let class = open.request.class;
        let now = environment.context.now();
        let mut details = attempt_details(open, server, timeout, now);
        let is_known = environment.fleet.contains(server);
        environment.draw_attempt(&mut details, class, is_known);
        let kept_connection = if is_known {
            self.reuse_connection(server, environment)
        } else {
            None
        };
        let key = environment.attempts.start(details, kept_connection);
        if let Some(open) = self.open_requests.get_mut(&number) {
            open.attempts.push(key);
        }
        if is_known {
            schedule(key, environment);
        } else {
            self.end_attempt(key, Outcome::NotSent, events, environment);
        }
    }

    /// The end of an attempt is at its sidecar.
    pub(in crate::simulator) fn on_attempt_result(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        environment: &mut Environment<'_, '_>,
    ) {
        let Some(attempt) = environment.attempts.get_mut(key) else {
            return;
        };
        if !attempt.has_ended() {
            let server = attempt.details.server;
            if let Some(start) = attempt.take_connection() {
                if is_complete_response(outcome) {
                    let idle_since = environment.context.now();
                    self.keep_connection(server, idle_since, start, environment.fleet);
                } else {
                    environment.fleet.close_connection(server, start);
                }
            }
            self.on_attempt_ended(key, outcome, environment);
        }
        environment.attempts.remove(key);
    }

    /// An attempt's time is over, or its connection did not open in time.
    pub(in crate::simulator) fn on_attempt_timeout(
        &mut self,
        key: AttemptKey,
        environment: &mut Environment<'_, '_>,
    ) {
        let Some(attempt) = environment.attempts.get(key) else {
            return;
        };
        // The timeout of the connection, which has opened since.
        let is_early = attempt.is_written() && environment.context.now() < attempt.details.due;
        if attempt.has_ended() || is_early {
            return;
        }
        let server = attempt.details.server;
        let job = attempt.job();
        let outcome = if attempt.is_written() {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        };
        close_connection(key, environment);
        self.on_attempt_ended(key, outcome, environment);
        if outcome == Outcome::ConnectFailed && !environment.fleet.has_job(server, job) {
            environment.attempts.remove(key);
        }
    }

    /// Closes an attempt's connection, and lets the balancer know that it is cancelled.
    pub(super) fn cancel_attempt(
        &mut self,
        key: AttemptKey,
        events: &mut VecDeque<BalancerEvent>,
        environment: &mut Environment<'_, '_>,
    ) {
        let attempt = environment.attempts.get(key);
        if attempt.is_some_and(|attempt| !attempt.has_ended()) {
            close_connection(key, environment);
            self.end_attempt(key, Outcome::Cancelled, events, environment);
        }
    }

    /// An attempt has ended by itself: the balancer learns of it, and decides.
    fn on_attempt_ended(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        environment: &mut Environment<'_, '_>,
    ) {
        let mut events = VecDeque::new();
        self.end_attempt(key, outcome, &mut events, environment);
        self.handle_balancer_events(events, environment);
    }

    /// Lets the balancer know how an attempt ended; a served one is the response.
    fn end_attempt(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        events: &mut VecDeque<BalancerEvent>,
        environment: &mut Environment<'_, '_>,
    ) {
        let attempt = environment.attempts.get_mut(key);
        let Some(attempt) = attempt.filter(|attempt| !attempt.has_ended()) else {
            return;
        };
        attempt.on_ended();
        let number = attempt.details.request;
        let is_served = outcome == Outcome::Served;
        let finished = is_served || !self.has_open_request(number);
        let end = attempt_end(attempt, outcome, finished, environment.context.now());
        events.push_back(BalancerEvent::AttemptEnded(end));
        if is_served {
            self.respond(number, RequestOutcome::Served, 0, events, environment);
        }
    }
}

/// An attempt's details before its delay and its own work are drawn.
fn attempt_details(
    open: &OpenRequest,
    server: ServerIndex,
    timeout: Option<Micros>,
    now: Micros,
) -> AttemptDetails {
    let request = &open.request;
    let time_left = request.due.saturating_sub(now);
    AttemptDetails {
        request: request.number,
        index: u32_from_count(open.attempts.len()),
        sidecar: request.process.sidecar,
        server,
        sent_at: now,
        due: now + timeout.map_or(time_left, |timeout| timeout.min(time_left)),
        work: request.work,
        delay: 0,
    }
}

/// How an attempt ended; `finished` where its request needs no further attempt.
fn attempt_end(attempt: &Attempt, outcome: Outcome, finished: bool, now: Micros) -> AttemptEnd {
    let details = &attempt.details;
    let load_report = attempt.reported_in_flight().map(|in_flight| LoadReport {
        in_flight: in_flight as f64,
        queued: 0.0,
    });
    AttemptEnd {
        request: RequestId(details.request.value()),
        attempt: details.index,
        server: ServerId(details.server.value()),
        outcome,
        request_finished: finished,
        elapsed: now - details.sent_at,
        load_report,
    }
}

/// Whether an attempt ended with a complete response, after which its connection can be used again.
fn is_complete_response(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Served | Outcome::ServerError | Outcome::Rejected
    )
}
