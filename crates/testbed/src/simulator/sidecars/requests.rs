//! The lifecycle of a request at its sidecar, from its acceptance to the response.

use std::collections::VecDeque;

use arrowstand_balancer::{ClassId, Event as BalancerEvent, IncomingRequest, RequestId};

use super::attempt_connections::close_connection;
use super::components::Components;
use super::settings::RESPONSE_MARGIN;
use super::sidecar::Sidecar;
use crate::event_log::{LogEvent, RequestOutcome};
use crate::index::RequestNumber;
use crate::scenario::{Micros, from_ms};
use crate::simulator::attempts::AttemptKey;
use crate::simulator::context::Context;
use crate::simulator::event::{ClientResponse, SimulatorEvent};
use crate::simulator::request::{Request, RequestKey};

/// A request that the sidecar has accepted and not yet responded to.
pub(super) struct OpenRequest {
    pub(super) key: RequestKey,
    pub(super) request: Request,
    /// The attempts so far, by index.
    pub(super) attempts: Vec<AttemptKey>,
}

impl OpenRequest {
    /// Closes the request's connections when the sidecar's process is killed. The client detects
    /// the loss of its own connection.
    pub(super) fn on_process_killed(self, components: &mut Components<'_, '_>) {
        for attempt in self.attempts {
            close_connection(attempt, components);
        }
        let outcome = RequestOutcome::ConnectionLost;
        send_response(self.key, outcome, 0, components.context);
    }
}

impl Sidecar {
    /// Accepts a request that has reached the running sidecar.
    pub(in crate::simulator) fn accept_request(
        &mut self,
        key: RequestKey,
        request: Request,
        components: &mut Components<'_, '_>,
    ) {
        let context = &mut *components.context;
        context.record(LogEvent::RequestAccepted {
            request: request.number,
            arrival: request.arrival_number,
            sidecar: self.index,
            class: request.class,
            due: request.deadline,
        });
        let open = OpenRequest {
            key,
            request,
            attempts: Vec::new(),
        };
        self.open_requests.insert(request.number, open);
        let respond_by = request.deadline.saturating_sub(RESPONSE_MARGIN);
        let deadline = SimulatorEvent::ResponseDeadline(self.index, request.number);
        context.schedule_at(respond_by, deadline);
        let arrived = request_arrived(&request, context.now());
        self.handle_balancer_event(arrived, components);
    }

    /// Whether the sidecar has accepted a request and not yet responded to it.
    pub(super) fn has_open_request(&self, number: RequestNumber) -> bool {
        self.open_requests.contains_key(&number)
    }

    /// Fails a request that is still open shortly before its client gives up.
    pub(in crate::simulator) fn on_response_deadline(
        &mut self,
        number: RequestNumber,
        components: &mut Components<'_, '_>,
    ) {
        if !self.has_open_request(number) {
            return;
        }
        let mut events = VecDeque::from([client_disconnected(number)]);
        self.fail_request(number, &mut events, components);
        self.handle_balancer_events(events, components);
    }

    /// Cancels the outstanding attempts of a request that its client no longer waits for.
    pub(in crate::simulator) fn abandon_request(
        &mut self,
        number: RequestNumber,
        components: &mut Components<'_, '_>,
    ) {
        let mut events = VecDeque::from([client_disconnected(number)]);
        self.close_request(number, &mut events, components);
        self.handle_balancer_events(events, components);
    }

    /// Sends the final response to a request if it is open, and cancels its outstanding attempts.
    pub(super) fn respond(
        &mut self,
        number: RequestNumber,
        outcome: RequestOutcome,
        retry_after: Micros,
        events: &mut VecDeque<BalancerEvent>,
        components: &mut Components<'_, '_>,
    ) {
        if let Some(key) = self.close_request(number, events, components) {
            send_response(key, outcome, retry_after, components.context);
        }
    }

    /// Closes a request if it is open, cancels its outstanding attempts and returns its key.
    fn close_request(
        &mut self,
        number: RequestNumber,
        events: &mut VecDeque<BalancerEvent>,
        components: &mut Components<'_, '_>,
    ) -> Option<RequestKey> {
        let open = self.open_requests.remove(&number)?;
        for attempt in open.attempts {
            self.cancel_attempt(attempt, events, components);
        }
        Some(open.key)
    }

    /// Returns the key of an open request's attempt by its index.
    pub(super) fn attempt_key(&self, number: RequestNumber, index: u32) -> Option<AttemptKey> {
        let open = self.open_requests.get(&number)?;
        open.attempts.get(index as usize).copied()
    }
}

fn request_arrived(request: &Request, now: Micros) -> BalancerEvent {
    BalancerEvent::RequestArrived(IncomingRequest {
        id: RequestId(request.number.value()),
        class: ClassId(request.class.value()),
        time_left: request.deadline.saturating_sub(now),
        work_hint: request.work_hint,
    })
}

fn client_disconnected(number: RequestNumber) -> BalancerEvent {
    let request = RequestId(number.value());
    BalancerEvent::ClientDisconnected { request }
}

/// Schedules the arrival of a response, or of the connection's end, at the client, after
/// `client_ms`, the one-way delay between client and sidecar.
fn send_response(
    request: RequestKey,
    outcome: RequestOutcome,
    retry_after: Micros,
    context: &mut Context<'_>,
) {
    let delay = from_ms(context.scenario().network.client_ms);
    let response = SimulatorEvent::ResponseAtClient(ClientResponse {
        request,
        outcome,
        retry_after,
    });
    context.schedule_after(delay, response);
}
