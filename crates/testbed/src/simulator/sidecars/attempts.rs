//! An attempt at its sidecar: sent on a connection that was kept or a new one, written, ended.

use std::collections::VecDeque;

use arrowstand_balancer::{Event as BalancerEvent, Outcome};

use super::requests::OpenRequest;
use crate::event_log::LogEvent;
use crate::index::{RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::{Micros, from_ms};
use crate::simulator::Simulator;
use crate::simulator::attempts::{AttemptDetails, AttemptKey};
use crate::simulator::event::{Cancellation, SimulatorEvent};

impl Simulator<'_> {
    /// Sends an attempt of an open request; `timeout` is cut to the time that the request has left.
    pub(super) fn send_attempt(
        &mut self,
        sidecar: SidecarIndex,
        number: RequestNumber,
        server: ServerIndex,
        timeout: Option<Micros>,
        events: &mut VecDeque<BalancerEvent>,
    ) {
        let open = self.sidecars[sidecar.index()].open_requests.get(&number);
        let Some(open) = open else {
            return;
        };
        let class = open.request.class;
        let scenario = self.context.scenario();
        let mut details = attempt_details(open, server, timeout, self.context.now());
        let is_known = self.fleet.contains(server);
        if is_known {
            let zone = self.fleet.zone(server);
            details.delay = self.network.draw_delay(sidecar, zone, scenario);
        }
        details.work = self
            .network
            .draw_attempt_work(sidecar, class, details.work, scenario);
        let kept_connection = if is_known {
            self.reuse_connection(sidecar, server)
        } else {
            None
        };
        let key = self.attempts.start(details, kept_connection);
        let open_requests = &mut self.sidecars[sidecar.index()].open_requests;
        if let Some(open) = open_requests.get_mut(&number) {
            open.attempts.push(key);
        }
        if is_known {
            self.schedule_attempt(key);
        } else {
            self.end_attempt(key, Outcome::NotSent, events);
        }
    }

    fn schedule_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let delay = attempt.details.delay;
        let due = attempt.details.due;
        if attempt.opens_connection() {
            let connect_timeout = from_ms(self.context.scenario().permissions.connect_timeout_ms);
            let connect_due = self.context.now() + connect_timeout;
            let context = &mut self.context;
            context.after(delay, SimulatorEvent::ConnectAtServer(key));
            context.at(due.min(connect_due), SimulatorEvent::AttemptTimeout(key));
        } else {
            self.on_attempt_written(key);
            let context = &mut self.context;
            context.after(delay, SimulatorEvent::AttemptAtServer(key));
            context.at(due, SimulatorEvent::AttemptTimeout(key));
        }
    }

    fn on_attempt_written(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        attempt.on_written();
        let details = &attempt.details;
        let zone = self.fleet.zone(details.server);
        self.context.record(LogEvent::AttemptStarted {
            request: details.request,
            sidecar: details.sidecar,
            server: details.server,
            cross_zone: self.network.is_cross_zone(details.sidecar, zone),
        });
    }

    /// The sidecar knows that its connection is open, and writes the request.
    pub(in crate::simulator) fn on_connection_open(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        if attempt.has_ended() {
            self.attempts.remove(key);
            return;
        }
        let due = attempt.details.due;
        let delay = attempt.details.delay;
        let machine_type = self.fleet.machine_type(attempt.details.server);
        let further_round_trips = (machine_type.handshake_rtts - 1.0).max(0.0);
        let handshake = (further_round_trips * 2.0 * delay as f64) as Micros;
        self.on_attempt_written(key);
        let context = &mut self.context;
        context.at(due, SimulatorEvent::AttemptTimeout(key));
        context.after(delay + handshake, SimulatorEvent::AttemptAtServer(key));
    }

    /// Closes an attempt's connection; the server notices what it has of it after the way there.
    pub(super) fn close_attempt_connection(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        let Some(server_start) = attempt.take_connection() else {
            return;
        };
        let server = attempt.details.server;
        self.fleet.close_connection(server, server_start);
        if attempt.is_written() {
            let noticed = SimulatorEvent::CancellationAtServer(Cancellation {
                server,
                server_start,
                job: attempt.job(),
            });
            self.context.after(attempt.details.delay, noticed);
        }
    }

    /// The end of an attempt is at its sidecar.
    pub(in crate::simulator) fn on_result_at_sidecar(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        if !attempt.has_ended() {
            let sidecar = attempt.details.sidecar;
            let server = attempt.details.server;
            if let Some(start) = attempt.take_connection() {
                if is_complete_response(outcome) {
                    let now = self.context.now();
                    self.keep_connection(sidecar, server, now, start);
                } else {
                    self.fleet.close_connection(server, start);
                }
            }
            let mut events = VecDeque::new();
            self.end_attempt(key, outcome, &mut events);
            self.handle_balancer_events(sidecar, events);
        }
        self.attempts.remove(key);
    }

    /// An attempt's time is over, or its connection did not open in time.
    pub(in crate::simulator) fn on_attempt_timeout(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        // The timeout of the connection, which has opened since.
        let is_early = attempt.is_written() && self.context.now() < attempt.details.due;
        if attempt.has_ended() || is_early {
            return;
        }
        let sidecar = attempt.details.sidecar;
        let server = attempt.details.server;
        let job = attempt.job();
        let outcome = if attempt.is_written() {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        };
        self.close_attempt_connection(key);
        let mut events = VecDeque::new();
        self.end_attempt(key, outcome, &mut events);
        self.handle_balancer_events(sidecar, events);
        if outcome == Outcome::ConnectFailed && !self.fleet.holds_job(server, job) {
            self.attempts.remove(key);
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
        index: open.attempts.len() as u32,
        sidecar: request.process.sidecar,
        server,
        sent_at: now,
        due: now + timeout.map_or(time_left, |timeout| timeout.min(time_left)),
        work: request.work,
        delay: 0,
    }
}

/// Whether an attempt ended with a complete response, after which its connection can be used again.
fn is_complete_response(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Served | Outcome::ServerError | Outcome::Rejected
    )
}
