//! A request's life at its sidecar: accepted, attempted, responded to or abandoned.

use std::collections::VecDeque;

use arrowstand_balancer::{
    AttemptEnd, ClassId, Event as BalancerEvent, IncomingRequest, LoadReport, Outcome, RequestId,
    ServerId,
};

use super::settings::RESPONSE_MARGIN;
use crate::event_log::{LogEvent, RequestOutcome};
use crate::index::{RequestNumber, SidecarIndex};
use crate::scenario::{Micros, from_ms};
use crate::simulator::Simulator;
use crate::simulator::attempts::{Attempt, AttemptKey};
use crate::simulator::event::{ClientResponse, SimulatorEvent};
use crate::simulator::request::{Request, RequestKey};

/// A request that its sidecar has accepted and not yet responded to.
pub(super) struct OpenRequest {
    pub(super) key: RequestKey,
    pub(super) request: Request,
    /// Its attempts, by their indexes.
    pub(super) attempts: Vec<AttemptKey>,
}

impl Simulator<'_> {
    /// A request's last byte is at its sidecar.
    pub(in crate::simulator) fn on_request_at_sidecar(&mut self, key: RequestKey) {
        let Some(request) = self.clients.request(key) else {
            return;
        };
        if self.is_running(request.process) {
            self.accept_request(key, request);
        } else {
            let unreachable = ClientResponse {
                request: key,
                outcome: RequestOutcome::Unreachable,
                retry_after: 0,
            };
            self.clients.on_response(&unreachable, &mut self.context);
        }
    }

    fn accept_request(&mut self, key: RequestKey, request: Request) {
        let sidecar_index = request.process.sidecar;
        let time_left = request.due.saturating_sub(self.context.now());
        self.context.record(LogEvent::RequestAccepted {
            request: request.number,
            arrival: request.arrival_number,
            sidecar: sidecar_index,
            class: request.class,
            due: request.due,
        });
        let open = OpenRequest {
            key,
            request,
            attempts: Vec::new(),
        };
        let sidecar = &mut self.sidecars[sidecar_index.index()];
        sidecar.open_requests.insert(request.number, open);
        let respond_by = request.due.saturating_sub(RESPONSE_MARGIN);
        let due = SimulatorEvent::ResponseDue(sidecar_index, request.number);
        self.context.at(respond_by, due);
        let arrived = BalancerEvent::RequestArrived(IncomingRequest {
            id: RequestId(request.number.value()),
            class: ClassId(request.class.value()),
            time_left,
            work_hint: request.work_hint,
        });
        self.handle_balancer_event(sidecar_index, arrived);
    }

    /// The sidecar's last moment for a request that its balancer has not decided.
    pub(in crate::simulator) fn on_response_due(
        &mut self,
        sidecar: SidecarIndex,
        number: RequestNumber,
    ) {
        if !self.is_open(sidecar, number) {
            return;
        }
        let mut events = VecDeque::from([client_disconnected(number)]);
        let retry_after = self.max_retry_after();
        let outcome = RequestOutcome::Failed;
        self.respond(sidecar, number, outcome, retry_after, &mut events);
        self.handle_balancer_events(sidecar, events);
    }

    /// Whether a client's request is on its way to the sidecar or open there: once the sidecar has
    /// responded, its response is on its way and comes within the grace.
    pub(in crate::simulator) fn awaits_response(&self, request: &Request) -> bool {
        let has_arrived = request.arrives_at <= self.context.now();
        !has_arrived || self.is_open(request.process.sidecar, request.number)
    }

    /// The client no longer waits: what is still out is cancelled.
    pub(in crate::simulator) fn abandon_request(&mut self, request: &Request) {
        let sidecar = request.process.sidecar;
        let mut events = VecDeque::from([client_disconnected(request.number)]);
        self.close_request(sidecar, request.number, &mut events);
        self.handle_balancer_events(sidecar, events);
    }

    /// Gives the one final response and cancels what is still out.
    pub(super) fn respond(
        &mut self,
        sidecar: SidecarIndex,
        number: RequestNumber,
        outcome: RequestOutcome,
        retry_after: Micros,
        events: &mut VecDeque<BalancerEvent>,
    ) {
        let Some(request) = self.close_request(sidecar, number, events) else {
            return;
        };
        let delay = from_ms(self.context.scenario().network.client_ms);
        let response = SimulatorEvent::ResponseAtClient(ClientResponse {
            request,
            outcome,
            retry_after: retry_after as u32,
        });
        self.context.after(delay, response);
    }

    /// Cancels what is still out of a request that is open, and gives back the client's key.
    fn close_request(
        &mut self,
        sidecar: SidecarIndex,
        number: RequestNumber,
        events: &mut VecDeque<BalancerEvent>,
    ) -> Option<RequestKey> {
        let open_requests = &mut self.sidecars[sidecar.index()].open_requests;
        let open = open_requests.remove(&number)?;
        for attempt in open.attempts {
            self.cancel_attempt(attempt, events);
        }
        Some(open.key)
    }

    fn is_open(&self, sidecar: SidecarIndex, number: RequestNumber) -> bool {
        let sidecar = &self.sidecars[sidecar.index()];
        sidecar.open_requests.contains_key(&number)
    }

    /// The attempt of an open request by its index.
    pub(super) fn attempt_of(
        &self,
        sidecar: SidecarIndex,
        number: RequestNumber,
        index: u32,
    ) -> Option<AttemptKey> {
        let open = self.sidecars[sidecar.index()].open_requests.get(&number)?;
        open.attempts.get(index as usize).copied()
    }

    /// Closes an attempt's connection, and lets the balancer know that it is cancelled.
    pub(super) fn cancel_attempt(&mut self, key: AttemptKey, events: &mut VecDeque<BalancerEvent>) {
        if self.attempts.get(key).is_some_and(|a| !a.has_ended()) {
            self.close_attempt_connection(key);
            self.end_attempt(key, Outcome::Cancelled, events);
        }
    }

    /// Lets the balancer know how an attempt ended; a served one is the response.
    pub(super) fn end_attempt(
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
        let sidecar = attempt.details.sidecar;
        let number = attempt.details.request;
        let open_requests = &self.sidecars[sidecar.index()].open_requests;
        let finished = outcome == Outcome::Served || !open_requests.contains_key(&number);
        let end = attempt_end(attempt, outcome, finished, self.context.now());
        events.push_back(BalancerEvent::AttemptEnded(end));
        if outcome == Outcome::Served {
            self.respond(sidecar, number, RequestOutcome::Served, 0, events);
        }
    }
}

fn client_disconnected(number: RequestNumber) -> BalancerEvent {
    let request = RequestId(number.value());
    BalancerEvent::ClientDisconnected { request }
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
        finished,
        elapsed: now - details.sent_at,
        load_report,
    }
}
