//! Handles the end of a request at its client (response, timeout or disconnect), and decides
//! whether the client retries.

use super::Clients;
use crate::event_log::{LogEvent, RequestOutcome};
use crate::scenario::{Idempotency, Micros, from_ms};
use crate::simulator::context::Context;
use crate::simulator::event::{ClientResponse, SimulatorEvent};
use crate::simulator::request::{ArrivalKey, RequestKey};

impl Clients {
    /// Handles the response to a request as it arrives at the client.
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

    /// Handles a client's timeout: the request ends without a response.
    pub(in crate::simulator) fn on_timed_out(
        &mut self,
        key: RequestKey,
        context: &mut Context<'_>,
    ) {
        if let Some(request) = self.requests.remove(key) {
            self.on_request_ended(request.arrival, RequestOutcome::Unanswered, 0, context);
        }
    }

    /// Closes the arrival of a client that has disconnected, once the sidecar has abandoned its
    /// request.
    pub(in crate::simulator) fn on_disconnected(
        &mut self,
        key: RequestKey,
        context: &mut Context<'_>,
    ) {
        if let Some(request) = self.requests.remove(key) {
            self.close_arrival(request.arrival, RequestOutcome::Disconnected, context);
        }
    }

    /// Schedules a retry of an arrival whose request has ended, or closes the arrival.
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
        // Drawn even if it is not used: later draws must not depend on the outcome.
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
            context.schedule_after(wait, retry);
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

/// Whether a client may retry a request: it certainly has not been executed, or it is idempotent.
fn may_retry(outcome: RequestOutcome, idempotency: Idempotency) -> bool {
    match outcome {
        RequestOutcome::Rejected | RequestOutcome::Unreachable => true,
        RequestOutcome::Failed | RequestOutcome::ConnectionLost | RequestOutcome::Unanswered => {
            idempotency == Idempotency::Idempotent
        }
        _ => false,
    }
}
