//! Runs one arrival: its first request and the retries, until an outcome ends it or its deadline
//! leaves no time for another retry.
//!
//! Retries, backoff, timeouts and disconnections follow the simulator's rules, but are drawn from
//! random streams of the emulator.

use std::sync::Arc;
use std::time::Duration;

use super::SidecarClients;
use super::request::{OutgoingRequest, Response};
use crate::conversion::{f64_from_u64, micros_from_f64};
use crate::event_log::{LogEvent, RequestOutcome};
use crate::index::{ArrivalNumber, RequestNumber};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Idempotency, Micros, from_ms};
use crate::workload::Arrival;

/// First index of the arrivals' random streams; the streams of the sidecars' clients have lower
/// indexes.
const RANDOM_STREAM_OFFSET: usize = 1 << 38;
/// Bits of a random stream's index that hold the arrival's index at its sidecar: 2^22 arrivals per
/// sidecar have a stream each.
const ARRIVAL_INDEX_BITS: usize = 22;

impl SidecarClients {
    /// Runs an arrival with its retries; `arrival_index` counts this sidecar's arrivals from 0.
    pub(super) async fn run_arrival(self: Arc<Self>, arrival: Arrival, arrival_index: usize) {
        let number = self.shared.next_arrival_number();
        let within_quota = self.try_take_quota(arrival.tenant);
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
        let max_open = self.shared.scenario.load.max_open_requests;
        if !self.limits.try_open_arrival(max_open) {
            self.record_arrival_ended(number, RequestOutcome::NotPlayed, 0);
            return;
        }
        let (outcome, requests) = self.send_requests(&arrival, number, arrival_index).await;
        self.record_arrival_ended(number, outcome, requests);
        self.limits.on_arrival_ended();
    }

    fn record_arrival_ended(&self, arrival: ArrivalNumber, outcome: RequestOutcome, requests: u32) {
        self.shared.record(LogEvent::ArrivalEnded {
            arrival,
            outcome,
            requests,
        });
    }

    /// Sends an arrival's request and its retries; returns the last outcome and the number of
    /// requests.
    async fn send_requests(
        &self,
        arrival: &Arrival,
        number: ArrivalNumber,
        arrival_index: usize,
    ) -> (RequestOutcome, u32) {
        let scenario = &self.shared.scenario;
        let stream_index =
            RANDOM_STREAM_OFFSET + ((self.sidecar.index()) << ARRIVAL_INDEX_BITS) + arrival_index;
        let mut random = RandomStream::new(scenario.seed, StreamId::Clients, stream_index);
        let deadline_span = from_ms(scenario.class[arrival.class.index()].deadline_ms);
        let deadline = arrival.at + deadline_span;
        let mut started_at = arrival.at;
        let mut requests = 0;
        loop {
            requests += 1;
            let request = self.draw_request(&mut random, arrival, number, started_at, deadline);
            let response = self.exchange(arrival, &request).await;
            let outcome = request.final_outcome(response.outcome);
            self.record_outcome(request.number, outcome);
            let delay = self.retry_delay(&mut random, arrival, outcome, response);
            let too_late = self.shared.clock.now() + delay >= deadline;
            let max_retries = scenario.clients.retries;
            if !self.may_retry(arrival, outcome) || requests > max_retries || too_late {
                return (outcome, requests);
            }
            tokio::time::sleep(Duration::from_micros(delay)).await;
            started_at = self.shared.clock.now();
        }
    }

    /// Creates the next request of an arrival with a new number. Draws when its client times out,
    /// and whether and when it disconnects before that.
    fn draw_request(
        &self,
        random: &mut RandomStream,
        arrival: &Arrival,
        number: ArrivalNumber,
        started_at: Micros,
        deadline: Micros,
    ) -> OutgoingRequest {
        let clients = &self.shared.scenario.clients;
        let deadline_span = deadline - arrival.at;
        let [min, max] = clients.timeout_share;
        let timeout = micros_from_f64(f64_from_u64(deadline_span) * random.uniform_in(min, max));
        let times_out_at = (started_at + timeout).min(deadline);
        let disconnects = random.bernoulli(clients.disconnect_share);
        let disconnects_at = started_at
            + micros_from_f64(
                random.uniform() * f64_from_u64(times_out_at.saturating_sub(started_at)),
            );
        OutgoingRequest {
            number: self.shared.next_request_number(),
            arrival: number,
            times_out_at,
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

    /// The delay before a retry: the rejection's `Retry-After` if the client honours it, otherwise
    /// a random backoff.
    fn retry_delay(
        &self,
        random: &mut RandomStream,
        arrival: &Arrival,
        outcome: RequestOutcome,
        response: Response,
    ) -> Micros {
        let [min, max] = self.shared.scenario.clients.backoff_ms;
        let backoff = from_ms(random.uniform_in(min, max));
        let retry_after = response
            .retry_after
            .filter(|_| arrival.honours_retry_after && outcome == RequestOutcome::Rejected);
        retry_after.map_or(backoff, |delay| delay.max(1))
    }
}
