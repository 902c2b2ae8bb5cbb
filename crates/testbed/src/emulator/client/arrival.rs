//! The life of an arrival: its requests, one after the other, until a response ends it or its time
//! is up.
//!
//! Owns retries, backoff and the draws of timeout and disconnection, made as the simulator makes
//! them from streams of its own.

use std::sync::Arc;
use std::time::Duration;

use super::Clients;
use super::request::{OutgoingRequest, Response};
use crate::conversion::{f64_from_u64, micros_from_f64};
use crate::event_log::{LogEvent, RequestOutcome};
use crate::index::{ArrivalNumber, RequestNumber};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Idempotency, Micros, from_ms};
use crate::workload::Arrival;

/// Indexes of the arrivals' random streams begin here, apart from those of the sidecars' clients.
const STREAM_OFFSET: usize = 1 << 38;
/// Bits of an arrival's place within its sidecar: 2^22 arrivals have streams of their own.
const STREAM_BITS: usize = 22;

impl Clients {
    /// Plays an arrival with all its requests; `position` is its place among those at this sidecar.
    pub(super) async fn play_arrival(self: Arc<Self>, arrival: Arrival, position: usize) {
        let number = self.shared.next_arrival_number();
        let within_quota = self.within_quota(arrival.tenant);
        self.shared.record_at(
            arrival.at,
            LogEvent::ArrivalStarted {
                arrival: number,
                sidecar: self.sidecar,
                class: arrival.class,
                tenant: arrival.tenant,
                within_quota,
                work: arrival.work,
            },
        );
        let limit = self.shared.scenario.load.max_open_requests;
        if !self.load.try_open(limit) {
            self.record_arrival_ended(number, RequestOutcome::NotPlayed, 0);
            return;
        }
        let (outcome, requests) = self.send_requests(&arrival, number, position).await;
        self.record_arrival_ended(number, outcome, requests);
        self.load.on_ended();
    }

    fn record_arrival_ended(&self, arrival: ArrivalNumber, outcome: RequestOutcome, requests: u32) {
        self.shared.record(LogEvent::ArrivalEnded {
            arrival,
            outcome,
            requests,
        });
    }

    /// Sends an arrival's request and its retries; the last outcome, and the number of requests.
    async fn send_requests(
        &self,
        arrival: &Arrival,
        number: ArrivalNumber,
        position: usize,
    ) -> (RequestOutcome, u32) {
        let scenario = &self.shared.scenario;
        let stream = STREAM_OFFSET + ((self.sidecar.index()) << STREAM_BITS) + position;
        let mut random = RandomStream::new(scenario.seed, StreamId::Clients, stream);
        let time_limit = from_ms(scenario.class[arrival.class.index()].deadline_ms);
        let deadline = arrival.at + time_limit;
        let mut from = arrival.at;
        let mut requests = 0;
        loop {
            requests += 1;
            let request = self.draw_request(&mut random, arrival, number, from, deadline);
            let response = self.exchange(arrival, &request).await;
            let outcome = request.outcome(response.outcome);
            self.record_outcome(request.number, outcome);
            let pause = self.retry_pause(&mut random, arrival, outcome, response);
            let too_late = self.shared.clock.now() + pause >= deadline;
            let retries = scenario.clients.retries;
            if !self.may_retry(arrival, outcome) || requests > retries || too_late {
                return (outcome, requests);
            }
            tokio::time::sleep(Duration::from_micros(pause)).await;
            from = self.shared.clock.now();
        }
    }

    /// Draws when the client times out, and whether it disconnects before.
    fn draw_request(
        &self,
        random: &mut RandomStream,
        arrival: &Arrival,
        number: ArrivalNumber,
        from: Micros,
        deadline: Micros,
    ) -> OutgoingRequest {
        let clients = &self.shared.scenario.clients;
        let time_limit = deadline - arrival.at;
        let [least, most] = clients.timeout_share;
        let timeout = micros_from_f64(f64_from_u64(time_limit) * random.uniform_in(least, most));
        let due = (from + timeout).min(deadline);
        let disconnects = random.bernoulli(clients.disconnect_share);
        let disconnects_at =
            from + micros_from_f64(random.uniform() * f64_from_u64(due.saturating_sub(from)));
        OutgoingRequest {
            number: self.shared.next_request_number(),
            arrival: number,
            due,
            disconnects_at: disconnects.then_some(disconnects_at),
        }
    }

    fn record_outcome(&self, request: RequestNumber, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Unreachable | RequestOutcome::Unanswered => {}
            RequestOutcome::Disconnected => {
                self.shared.record(LogEvent::ClientDisconnected { request });
            }
            outcome => self
                .shared
                .record(LogEvent::ResponseReceived { request, outcome }),
        }
    }

    fn may_retry(&self, arrival: &Arrival, outcome: RequestOutcome) -> bool {
        let class = &self.shared.scenario.class[arrival.class.index()];
        match outcome {
            RequestOutcome::Rejected | RequestOutcome::Unreachable => true,
            RequestOutcome::Failed
            | RequestOutcome::ConnectionLost
            | RequestOutcome::Unanswered => class.idempotency == Idempotency::Idempotent,
            _ => false,
        }
    }

    /// The pause before a retry: that of the rejection where the client keeps to it, or a backoff.
    fn retry_pause(
        &self,
        random: &mut RandomStream,
        arrival: &Arrival,
        outcome: RequestOutcome,
        response: Response,
    ) -> Micros {
        let [least, most] = self.shared.scenario.clients.backoff_ms;
        let backoff = from_ms(random.uniform_in(least, most));
        let advised = response
            .retry_after
            .filter(|_| arrival.honours_retry_after && outcome == RequestOutcome::Rejected);
        advised.map_or(backoff, |pause| pause.max(1))
    }
}
