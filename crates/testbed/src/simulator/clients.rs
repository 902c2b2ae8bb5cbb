//! The simulator's clients: what they ask for, how long they wait, and when they retry.
//!
//! What a sidecar makes of a request is `sidecars`'.

use super::Simulator;
use super::event::{ClientResponse, SimulatorEvent};
use super::process::SidecarProcess;
use super::request::{ArrivalKey, OpenArrival, Request, RequestKey};
use crate::event_log::{LogEvent, RequestOutcome};
use crate::index::{RequestNumber, SidecarIndex, TenantIndex};
use crate::scenario::{Idempotency, Micros, from_ms};
use crate::workload::Arrival;

impl Simulator<'_> {
    pub(super) fn schedule_next_arrival(&mut self, sidecar: SidecarIndex) {
        if let Some(arrival) = self.sidecars[sidecar.index()].arrivals.next() {
            let event = SimulatorEvent::Arrival(sidecar, arrival);
            self.context.at(arrival.at, event);
        }
    }

    pub(super) fn on_arrival(&mut self, sidecar: SidecarIndex, arrival: Arrival) {
        let number = self.open.take_arrival_number();
        let within_quota = self.within_quota(arrival.tenant);
        self.context.record(LogEvent::ArrivalStarted {
            arrival: number,
            sidecar,
            class: arrival.class,
            tenant: arrival.tenant,
            within_quota,
            work: arrival.work,
        });
        let class = &self.context.scenario().class[arrival.class.index()];
        let key = self.open.arrivals.insert(OpenArrival {
            number,
            sidecar,
            class: arrival.class,
            work: arrival.work,
            work_hint: arrival.work_hint,
            deadline: self.context.now() + from_ms(class.deadline_ms),
            requests: 0,
            honours_retry_after: arrival.honours_retry_after,
        });
        if self.open.requests.len() >= self.context.scenario().load.max_open_requests {
            self.run_statistics.not_played += 1;
            self.close_arrival(key, RequestOutcome::NotPlayed);
        } else {
            self.send_request(key);
        }
        self.schedule_next_arrival(sidecar);
    }

    /// whether an arrival lies within its tenant's quota; without tenants all do.
    fn within_quota(&mut self, tenant: TenantIndex) -> bool {
        let now = self.context.now();
        self.quotas
            .get_mut(tenant.index())
            .is_none_or(|quota| quota.try_take(now))
    }

    /// Sends the first request of an arrival, or a retry.
    pub(super) fn send_request(&mut self, key: ArrivalKey) {
        let number = self.open.take_request_number();
        let now = self.context.now();
        let clients = &self.context.scenario().clients;
        let Some(arrival) = self.open.arrivals.get_mut(key) else {
            return;
        };
        arrival.requests += 1;
        let sidecar = &mut self.sidecars[arrival.sidecar.index()];
        let random = &mut sidecar.client_random;
        let class = &self.context.scenario().class[arrival.class.index()];
        let [shortest, longest] = clients.timeout_share;
        let deadline = from_ms(class.deadline_ms) as f64;
        let timeout = (deadline * random.between(shortest, longest)) as Micros;
        let due = (now + timeout).min(arrival.deadline);
        // The moment is drawn whether or not it counts, so that the share moves no other draw.
        let disconnects = random.chance(clients.disconnect_share);
        let disconnects_at = now + (random.unit() * timeout as f64) as Micros;
        let request = self.open.requests.insert(Request {
            number,
            arrival: key,
            process: SidecarProcess {
                sidecar: arrival.sidecar,
                incarnation: sidecar.incarnation(),
            },
            class: arrival.class,
            work: arrival.work,
            work_hint: arrival.work_hint,
            due,
            attempts: Vec::new(),
            responded: false,
        });
        self.schedule_request(request, due, disconnects.then_some(disconnects_at));
    }

    fn schedule_request(&mut self, key: RequestKey, due: Micros, disconnects_at: Option<Micros>) {
        let delay = from_ms(self.context.scenario().network.client_ms);
        let context = &mut self.context;
        context.after(delay, SimulatorEvent::RequestAtSidecar(key));
        context.at(due, SimulatorEvent::ClientTimeout(key));
        if let Some(at) = disconnects_at {
            context.at(at, SimulatorEvent::ClientDisconnect(key));
        }
    }

    pub(super) fn on_response_at_client(&mut self, response: &ClientResponse) {
        let outcome = response.outcome;
        let Some(request) = self.open.requests.remove(response.request) else {
            return;
        };
        if outcome != RequestOutcome::Unreachable {
            self.context.record(LogEvent::ResponseReceived {
                request: request.number,
                outcome,
            });
        }
        self.on_request_ended(request.arrival, outcome, response.retry_after.into());
    }

    pub(super) fn on_client_timeout(&mut self, key: RequestKey) {
        if self.awaits_response(key) {
            self.abandon_request(key);
            if let Some(request) = self.open.requests.remove(key) {
                self.on_request_ended(request.arrival, RequestOutcome::Unanswered, 0);
            }
        }
    }

    pub(super) fn on_client_disconnect(&mut self, key: RequestKey) {
        if self.awaits_response(key) {
            let number = self
                .open
                .requests
                .get(key)
                .map_or(RequestNumber::new(0), |request| request.number);
            self.context
                .record(LogEvent::ClientDisconnected { request: number });
            self.abandon_request(key);
            if let Some(request) = self.open.requests.remove(key) {
                self.close_arrival(request.arrival, RequestOutcome::Disconnected);
            }
        }
    }

    /// False once the sidecar has responded: its response is on its way and comes within the grace.
    fn awaits_response(&self, key: RequestKey) -> bool {
        self.open
            .requests
            .get(key)
            .is_some_and(|request| !request.responded)
    }

    /// Retries an arrival whose request has ended, or closes it.
    fn on_request_ended(&mut self, key: ArrivalKey, outcome: RequestOutcome, retry_after: Micros) {
        let scenario = self.context.scenario();
        let Some(arrival) = self.open.arrivals.get(key) else {
            return;
        };
        let class = &scenario.class[arrival.class.index()];
        let random = &mut self.sidecars[arrival.sidecar.index()].client_random;
        let [shortest, longest] = scenario.clients.backoff_ms;
        // Drawn whether or not it counts, so that an outcome moves no other draw.
        let backoff = from_ms(random.between(shortest, longest));
        let wait = if arrival.honours_retry_after && outcome == RequestOutcome::Rejected {
            retry_after.max(1)
        } else {
            backoff
        };
        let in_time = self.context.now() + wait < arrival.deadline;
        let retries_left = arrival.requests <= scenario.clients.retries;
        if may_retry(outcome, class.idempotency) && retries_left && in_time {
            self.context.after(wait, SimulatorEvent::RetryDue(key));
        } else {
            self.close_arrival(key, outcome);
        }
    }

    fn close_arrival(&mut self, key: ArrivalKey, outcome: RequestOutcome) {
        if let Some(arrival) = self.open.arrivals.remove(key) {
            self.context.record(LogEvent::ArrivalEnded {
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
