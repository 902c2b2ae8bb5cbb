//! A request's life at its sidecar: accepted, attempted, responded to or abandoned.

use std::collections::VecDeque;

use arrowstand_balancer::{
    AttemptEnd, ClassId, Event as BalancerEvent, IncomingRequest, LoadReport, Outcome, RequestId,
    ServerId,
};

use super::settings::RESPONSE_MARGIN;
use crate::event_log::{LogEvent, RequestOutcome};
use crate::index::{ArrivalNumber, RequestNumber};
use crate::scenario::{Micros, from_ms};
use crate::simulator::Simulator;
use crate::simulator::attempts::{Attempt, AttemptKey};
use crate::simulator::event::{ClientResponse, SimulatorEvent};
use crate::simulator::request::RequestKey;

impl Simulator<'_> {
    /// A request's last byte is at its sidecar.
    pub(in crate::simulator) fn on_request_at_sidecar(&mut self, key: RequestKey) {
        let Some(request) = self.open.requests.get(key) else {
            return;
        };
        let process = request.process;
        if !self.is_up(process.sidecar) || !self.is_current(process) {
            self.on_response_at_client(&ClientResponse {
                request: key,
                outcome: RequestOutcome::Unreachable,
                retry_after: 0,
            });
            return;
        }
        let (number, due) = (request.number, request.due);
        let incoming = IncomingRequest {
            id: RequestId(number.value()),
            class: ClassId(request.class.value()),
            time_left: due.saturating_sub(self.context.now()),
            work_hint: request.work_hint,
        };
        let arrival = self.open.arrivals.get(request.arrival);
        let accepted = LogEvent::RequestAccepted {
            request: number,
            arrival: arrival.map_or(ArrivalNumber::new(0), |arrival| arrival.number),
            sidecar: process.sidecar,
            class: request.class,
            due,
        };
        self.context.record(accepted);
        let sidecar = &mut self.sidecars[process.sidecar.index()];
        sidecar.open_requests.insert(number, key);
        let respond_by = due.saturating_sub(RESPONSE_MARGIN);
        self.context
            .at(respond_by, SimulatorEvent::ResponseDue(key));
        let arrived = BalancerEvent::RequestArrived(incoming);
        self.handle_balancer_event(process.sidecar, arrived);
    }

    /// The sidecar's last moment for a request that its balancer has not decided.
    pub(in crate::simulator) fn on_response_due(&mut self, key: RequestKey) {
        let unanswered = self
            .open
            .requests
            .get(key)
            .filter(|request| !request.responded);
        let Some(request) = unanswered else {
            return;
        };
        let (sidecar, number) = (request.process.sidecar, request.number);
        if !self.is_up(sidecar) {
            return;
        }
        let mut events = VecDeque::from([client_disconnected(number)]);
        let retry_after = self.max_retry_after();
        self.respond(key, RequestOutcome::Failed, retry_after, &mut events);
        self.handle_balancer_events(sidecar, events);
    }

    /// The client no longer waits: what is still out is cancelled.
    pub(in crate::simulator) fn abandon_request(&mut self, key: RequestKey) {
        let Some(request) = self.open.requests.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut request.responded, true) {
            return;
        }
        let (sidecar, number) = (request.process.sidecar, request.number);
        let mut events = VecDeque::from([client_disconnected(number)]);
        self.close_request(key, &mut events);
        self.handle_balancer_events(sidecar, events);
    }

    /// Gives the one final response and cancels what is still out.
    pub(super) fn respond(
        &mut self,
        key: RequestKey,
        outcome: RequestOutcome,
        retry_after: Micros,
        events: &mut VecDeque<BalancerEvent>,
    ) {
        let Some(request) = self.open.requests.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut request.responded, true) {
            return;
        }
        self.close_request(key, events);
        let delay = from_ms(self.context.scenario().network.client_ms);
        let response = SimulatorEvent::ResponseAtClient(ClientResponse {
            request: key,
            outcome,
            retry_after: retry_after as u32,
        });
        self.context.after(delay, response);
    }

    fn close_request(&mut self, key: RequestKey, events: &mut VecDeque<BalancerEvent>) {
        let Some(request) = self.open.requests.get(key) else {
            return;
        };
        let (sidecar, number) = (request.process.sidecar, request.number);
        for attempt in request.attempts.clone() {
            self.cancel_attempt(attempt, events);
        }
        self.sidecars[sidecar.index()].open_requests.remove(&number);
    }

    /// The attempt of a request by its index.
    pub(super) fn attempt_of(&self, key: RequestKey, index: u32) -> Option<AttemptKey> {
        let request = self.open.requests.get(key)?;
        request.attempts.get(index as usize).copied()
    }

    /// Closes an attempt's connection, and lets the balancer know that it is cancelled.
    pub(super) fn cancel_attempt(&mut self, key: AttemptKey, events: &mut VecDeque<BalancerEvent>) {
        if self.attempts.get(key).is_some_and(|a| !a.has_ended()) {
            self.close_attempt_connection(key);
            self.end_attempt(key, Outcome::Cancelled, events);
        }
    }

    /// Lets the balancer know how an attempt ended; a served one is the response.
    pub(in crate::simulator) fn end_attempt(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        events: &mut VecDeque<BalancerEvent>,
    ) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        if !attempt.end() {
            return;
        }
        let request = attempt.details.request;
        let responded = self.open.requests.get(request).is_none_or(|r| r.responded);
        let finished = responded || outcome == Outcome::Served;
        let end = attempt_end(attempt, outcome, finished, self.context.now());
        events.push_back(BalancerEvent::AttemptEnded(end));
        if outcome == Outcome::Served && !responded {
            self.respond(request, RequestOutcome::Served, 0, events);
        }
    }
}

fn client_disconnected(number: RequestNumber) -> BalancerEvent {
    let request = RequestId(number.value());
    BalancerEvent::ClientDisconnected { request }
}

/// How an attempt ended; `finished` where its request needs no further attempt.
fn attempt_end(attempt: &Attempt, outcome: Outcome, finished: bool, now: Micros) -> AttemptEnd {
    let load_report = attempt.reported_in_flight().map(|in_flight| LoadReport {
        in_flight: in_flight as f64,
        queued: 0.0,
    });
    let details = &attempt.details;
    AttemptEnd {
        request: RequestId(details.request_number.value()),
        attempt: details.index,
        server: ServerId(details.server.value()),
        outcome,
        finished,
        elapsed: now - details.sent_at,
        load_report,
    }
}
