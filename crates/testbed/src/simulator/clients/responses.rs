//! How a request ends for its client: a response, a timeout, a disconnect; and whether the client
//! retries.

use super::Clients;
use crate::event_log::{LogEvent, RequestOutcome};
use crate::scenario::{Idempotency, Micros, from_ms};
use crate::simulator::context::Context;
use crate::simulator::event::{ClientResponse, SimulatorEvent};
use crate::simulator::request::{ArrivalKey, RequestKey};

impl Clients {
    /// The response to a request is at its client.
    pub(in crate::simulator) fn on_response(
        &mut self,
        response: &ClientResponse,
        context: &mut Context<'_>,
    ) {
        let outcome = response.outcome;
        let Some(request) = self.requests.remove(response.request) else {
            return;
        };
        if outcome != RequestOutcome::Unreachable {
            context.record(LogEvent::ResponseReceived {
                request: request.number,
                outcome,
            });
        }
        let retry_after = response.retry_after;
        self.on_request_ended(request.arrival, outcome, retry_after, context);
    }

    /// A client has given up a request, without a response.
    pub(in crate::simulator) fn on_timed_out(
        &mut self,
        key: RequestKey,
        context: &mut Context<'_>,
    ) {
        if let Some(request) = self.requests.remove(key) {
            self.on_request_ended(request.arrival, RequestOutcome::Unanswered, 0, context);
        }
    }

    /// The sidecar has abandoned the request of a client that is gone.
    pub(in crate::simulator) fn on_disconnected(
        &mut self,
        key: RequestKey,
        context: &mut Context<'_>,
    ) {
        if let Some(request) = self.requests.remove(key) {
            self.close_arrival(request.arrival, RequestOutcome::Disconnected, context);
        }
    }

    /// Retries an arrival whose request has ended, or closes it.
    fn on_request_ended(
        &mut self,
        key: ArrivalKey,
        outcome: RequestOutcome,
        retry_after: Micros,
        context: &mut Context<'_>,
    ) {
        let scenario = context.scenario();
        let Some(arrival) = self.arrivals.get(key) else {
            return;
        };
        let random = &mut self.by_sidecar[arrival.sidecar.index()].random;
        let [shortest, longest] = scenario.clients.backoff_ms;
        // Drawn whether or not it counts, so that an outcome moves no other draw.
        let backoff = from_ms(random.uniform_in(shortest, longest));
        let wait = if arrival.honours_retry_after && outcome == RequestOutcome::Rejected {
            retry_after.max(1)
        } else {
            backoff
        };
        let in_time = context.now() + wait < arrival.deadline;
        let retries_left = arrival.requests <= scenario.clients.retries;
        let idempotency = scenario.class[arrival.class.index()].idempotency;
        if may_retry(outcome, idempotency) && retries_left && in_time {
            let retry = SimulatorEvent::RetryDue(arrival.sidecar, key);
            context.after(wait, retry);
        } else {
            self.close_arrival(key, outcome, context);
        }
    }

    pub(super) fn close_arrival(
        &mut self,
        key: ArrivalKey,
        outcome: RequestOutcome,
        context: &mut Context<'_>,
    ) {
        if let Some(arrival) = self.arrivals.remove(key) {
            context.record(LogEvent::ArrivalEnded {
                arrival: arrival.number,
                outcome,
                requests: arrival.requests,
            });
        }
    }
}

/// Whether a client may repeat a request: where it has certainly not run, or where running twice
/// does no harm.
fn may_retry(outcome: RequestOutcome, idempotency: Idempotency) -> bool {
    match outcome {
        RequestOutcome::Rejected | RequestOutcome::Unreachable => true,
        RequestOutcome::Failed | RequestOutcome::ConnectionLost | RequestOutcome::Unanswered => {
            idempotency == Idempotency::Idempotent
        }
        _ => false,
    }
}
