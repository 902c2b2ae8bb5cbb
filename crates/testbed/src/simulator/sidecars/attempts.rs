//! The sidecar's side of attempts: sending, ending, timeouts and cancellation.
//!
//! `attempt_connections` handles the connections of attempts, and `fleet` their processing at
//! servers.

use std::collections::VecDeque;

use arrowstand_balancer::{
    AttemptEnd, Event as BalancerEvent, LoadReport, Outcome, RequestId, ServerId,
};

use super::attempt_connections::{close_connection, schedule_attempt};
use super::components::Components;
use super::requests::OpenRequest;
use super::sidecar::Sidecar;
use crate::conversion::u32_from_count;
use crate::event_log::RequestOutcome;
use crate::index::{RequestNumber, ServerIndex};
use crate::scenario::Micros;
use crate::simulator::attempts::{Attempt, AttemptDetails, AttemptKey};

impl Sidecar {
    /// Sends an attempt of an open request; `timeout` is limited to the request's remaining time.
    pub(super) fn send_attempt(
        &mut self,
        number: RequestNumber,
        server: ServerIndex,
        timeout: Option<Micros>,
        events: &mut VecDeque<BalancerEvent>,
        components: &mut Components<'_, '_>,
    ) {
        let Some(open) = self.open_requests.get(&number) else {
            return;
        };
        let class = open.request.class;
        let now = components.context.now();
        let mut details = attempt_details(open, server, timeout, now);
        let server_exists = components.fleet.contains(server);
        components.draw_attempt(&mut details, class, server_exists);
        let reused_connection = if server_exists {
            self.reuse_connection(server, components)
        } else {
            None
        };
        let key = components.attempts.start(details, reused_connection);
        if let Some(open) = self.open_requests.get_mut(&number) {
            open.attempts.push(key);
        }
        if server_exists {
            schedule_attempt(key, components);
        } else {
            self.end_attempt(key, Outcome::NotSent, events, components);
        }
    }

    /// Handles the result of an attempt that reaches the sidecar.
    pub(in crate::simulator) fn on_attempt_result(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        components: &mut Components<'_, '_>,
    ) {
        let Some(attempt) = components.attempts.get_mut(key) else {
            return;
        };
        if !attempt.has_ended() {
            let server = attempt.details.server;
            if let Some(start) = attempt.take_connection() {
                if is_complete_response(outcome) {
                    let idle_since = components.context.now();
                    self.keep_connection(server, idle_since, start, components.fleet);
                } else {
                    components.fleet.close_connection(server, start);
                }
            }
            self.on_attempt_ended(key, outcome, components);
        }
        components.attempts.remove(key);
    }

    /// Handles the timeout of an attempt or of opening its connection.
    pub(in crate::simulator) fn on_attempt_timeout(
        &mut self,
        key: AttemptKey,
        components: &mut Components<'_, '_>,
    ) {
        let Some(attempt) = components.attempts.get(key) else {
            return;
        };
        // This is the connect timeout, and the connection has opened in the meantime.
        let is_stale = attempt.is_written() && components.context.now() < attempt.details.deadline;
        if attempt.has_ended() || is_stale {
            return;
        }
        let server = attempt.details.server;
        let job = attempt.job();
        let outcome = if attempt.is_written() {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        };
        close_connection(key, components);
        self.on_attempt_ended(key, outcome, components);
        if outcome == Outcome::ConnectFailed && !components.fleet.has_job(server, job) {
            components.attempts.remove(key);
        }
    }

    /// Cancels an attempt: closes its connection and reports the end to the balancer.
    pub(super) fn cancel_attempt(
        &mut self,
        key: AttemptKey,
        events: &mut VecDeque<BalancerEvent>,
        components: &mut Components<'_, '_>,
    ) {
        let attempt = components.attempts.get(key);
        if attempt.is_some_and(|attempt| !attempt.has_ended()) {
            close_connection(key, components);
            self.end_attempt(key, Outcome::Cancelled, events, components);
        }
    }

    /// Reports an attempt that was not cancelled to the balancer, and executes its actions.
    fn on_attempt_ended(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        components: &mut Components<'_, '_>,
    ) {
        let mut events = VecDeque::new();
        self.end_attempt(key, outcome, &mut events, components);
        self.handle_balancer_events(events, components);
    }

    /// Ends an attempt and reports it to the balancer; a served attempt completes its request.
    fn end_attempt(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        events: &mut VecDeque<BalancerEvent>,
        components: &mut Components<'_, '_>,
    ) {
        let attempt = components.attempts.get_mut(key);
        let Some(attempt) = attempt.filter(|attempt| !attempt.has_ended()) else {
            return;
        };
        attempt.on_ended();
        let number = attempt.details.request;
        let is_served = outcome == Outcome::Served;
        let finished = is_served || !self.has_open_request(number);
        let end = attempt_end(attempt, outcome, finished, components.context.now());
        events.push_back(BalancerEvent::AttemptEnded(end));
        if is_served {
            self.respond(number, RequestOutcome::Served, 0, events, components);
        }
    }
}

/// Returns the details of a new attempt; its delay and the noise of its work are drawn later.
fn attempt_details(
    open: &OpenRequest,
    server: ServerIndex,
    timeout: Option<Micros>,
    now: Micros,
) -> AttemptDetails {
    let request = &open.request;
    let time_left = request.deadline.saturating_sub(now);
    AttemptDetails {
        request: request.number,
        index: u32_from_count(open.attempts.len()),
        sidecar: request.process.sidecar,
        server,
        sent_at: now,
        deadline: now + timeout.map_or(time_left, |timeout| timeout.min(time_left)),
        work: request.work,
        delay: 0,
    }
}

/// Returns the balancer's view of an attempt's end; `finished` if the request needs no further
/// attempt.
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

/// Whether an attempt ended with a complete response, so that its connection can be reused.
fn is_complete_response(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Served | Outcome::ServerError | Outcome::Rejected
    )
}
