//! The simulator's clients: what they ask for, how long they wait, and when they retry.
//!
//! Owns arrivals, the requests that clients wait for, tenants' quotas and the clients' random
//! streams. `responses` is how a request ends for its client. What a sidecar makes of a request is
//! `sidecars`'.

mod responses;

use slotmap::SlotMap;

use super::context::Context;
use super::event::SimulatorEvent;
use super::process::SidecarProcess;
use super::request::{ArrivalKey, Request, RequestKey};
use crate::conversion::scaled_micros;
use crate::event_log::{LogEvent, RequestOutcome};
use crate::index::{ArrivalNumber, ClassIndex, RequestNumber, SidecarIndex, TenantIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Micros, Scenario, from_ms};
use crate::workload::{Arrival, ArrivalStream, TenantQuota, tenant_quotas, traffic_shares};

/// Number of the first sidecar's stream for its clients' requests, apart from those for their
/// arrivals.
const REQUEST_STREAMS: usize = 1 << 30;

/// What a client wants, with all its requests.
struct OpenArrival {
    number: ArrivalNumber,
    sidecar: SidecarIndex,
    class: ClassIndex,
    /// Work in microseconds of a standard core.
    work: f64,
    /// What the client hints of the work, in microseconds of a standard core.
    work_hint: Option<Micros>,
    deadline: Micros,
    /// Requests sent so far.
    requests: u32,
    /// Whether the client keeps to a Retry-After.
    honours_retry_after: bool,
}

/// The clients of one sidecar.
struct SidecarClients {
    arrivals: ArrivalStream,
    /// Draws timeouts and backoffs.
    random: RandomStream,
}

impl SidecarClients {
    /// Clients that ask for this share of the traffic.
    fn new(scenario: &Scenario, sidecar: SidecarIndex, traffic_share: f64) -> Self {
        // Requests draw from a stream of their own, so that arrivals stay as they are.
        let stream = sidecar.index() + REQUEST_STREAMS;
        Self {
            arrivals: ArrivalStream::new(scenario, sidecar, traffic_share),
            random: RandomStream::new(scenario.seed, StreamId::Clients, stream),
        }
    }
}

/// When a request's client gives up, and when it disconnects before that.
struct RequestTimeout {
    timeout_at: Micros,
    disconnects_at: Option<Micros>,
}

impl RequestTimeout {
    /// Schedules how the client ends a request that has no response.
    fn schedule(&self, request: RequestKey, context: &mut Context<'_>) {
        context.at(self.timeout_at, SimulatorEvent::ClientTimeout(request));
        if let Some(at) = self.disconnects_at {
            context.at(at, SimulatorEvent::ClientDisconnect(request));
        }
    }
}

/// The clients of all sidecars.
pub(super) struct Clients {
    by_sidecar: Vec<SidecarClients>,
    quotas: Vec<TenantQuota>,
    arrivals: SlotMap<ArrivalKey, OpenArrival>,
    requests: SlotMap<RequestKey, Request>,
    /// The next number of an arrival or a request.
    next_number: u64,
    /// Arrivals that were not played, as too many requests were open.
    not_played: u64,
}

impl Clients {
    /// The clients of a scenario, who have asked for nothing yet.
    pub(super) fn new(scenario: &Scenario) -> Self {
        let shares = traffic_shares(scenario);
        let numbered = SidecarIndex::all(shares.len()).zip(shares);
        let clients = numbered.map(|(index, share)| SidecarClients::new(scenario, index, share));
        Self {
            by_sidecar: clients.collect(),
            quotas: tenant_quotas(scenario),
            arrivals: SlotMap::with_key(),
            requests: SlotMap::with_key(),
            next_number: 1,
            not_played: 0,
        }
    }

    /// Whether no client wants anything.
    pub(super) fn is_idle(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Arrivals that were not played, as too many requests were open.
    pub(super) fn not_played(&self) -> u64 {
        self.not_played
    }

    /// A request that its client still waits for.
    pub(super) fn request(&self, key: RequestKey) -> Option<Request> {
        self.requests.get(key).copied()
    }

    /// Schedules the next arrival at a sidecar.
    pub(super) fn schedule_next_arrival(
        &mut self,
        sidecar: SidecarIndex,
        context: &mut Context<'_>,
    ) {
        if let Some(arrival) = self.by_sidecar[sidecar.index()].arrivals.next() {
            context.at(arrival.at, SimulatorEvent::Arrival(sidecar, arrival));
        }
    }

    /// A client of a sidecar wants something; `process` is the sidecar's present process.
    pub(super) fn on_arrival(
        &mut self,
        arrival: &Arrival,
        process: SidecarProcess,
        context: &mut Context<'_>,
    ) {
        let key = self.open_arrival(arrival, process.sidecar, context);
        if self.requests.len() >= context.scenario().load.max_open_requests {
            self.not_played += 1;
            self.close_arrival(key, RequestOutcome::NotPlayed, context);
        } else {
            self.send_request(key, process, context);
        }
        self.schedule_next_arrival(process.sidecar, context);
    }

    fn open_arrival(
        &mut self,
        arrival: &Arrival,
        sidecar: SidecarIndex,
        context: &mut Context<'_>,
    ) -> ArrivalKey {
        let number = ArrivalNumber::new(self.allocate_number());
        let now = context.now();
        context.record(LogEvent::ArrivalStarted {
            arrival: number,
            sidecar,
            class: arrival.class,
            tenant: arrival.tenant,
            within_quota: self.within_quota(arrival.tenant, now),
            work: arrival.work,
        });
        let class = &context.scenario().class[arrival.class.index()];
        self.arrivals.insert(OpenArrival {
            number,
            sidecar,
            class: arrival.class,
            work: arrival.work,
            work_hint: arrival.work_hint,
            deadline: now + from_ms(class.deadline_ms),
            requests: 0,
            honours_retry_after: arrival.honours_retry_after,
        })
    }

    /// Whether an arrival lies within its tenant's quota; without tenants all do.
    fn within_quota(&mut self, tenant: TenantIndex, now: Micros) -> bool {
        let quota = self.quotas.get_mut(tenant.index());
        quota.is_none_or(|quota| quota.try_acquire(now))
    }

    /// Sends the first request of an arrival, or a retry, to the present process of its sidecar.
    pub(super) fn send_request(
        &mut self,
        key: ArrivalKey,
        process: SidecarProcess,
        context: &mut Context<'_>,
    ) {
        let number = RequestNumber::new(self.allocate_number());
        let Some(arrival) = self.arrivals.get_mut(key) else {
            return;
        };
        arrival.requests += 1;
        let random = &mut self.by_sidecar[process.sidecar.index()].random;
        let request_timeout = draw_request_timeout(arrival, random, context);
        let client_delay = from_ms(context.scenario().network.client_ms);
        let request = self.requests.insert(Request {
            number,
            arrival: key,
            arrival_number: arrival.number,
            process,
            class: arrival.class,
            work: arrival.work,
            work_hint: arrival.work_hint,
            arrives_at: context.now() + client_delay,
            due: request_timeout.timeout_at,
        });
        context.after(client_delay, SimulatorEvent::RequestAtSidecar(request));
        request_timeout.schedule(request, context);
    }

    fn allocate_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }
}

/// How long a client waits for the response to the request that it sends now.
fn draw_request_timeout(
    arrival: &OpenArrival,
    random: &mut RandomStream,
    context: &Context<'_>,
) -> RequestTimeout {
    let scenario = context.scenario();
    let now = context.now();
    let class = &scenario.class[arrival.class.index()];
    let [shortest, longest] = scenario.clients.timeout_share;
    let deadline = from_ms(class.deadline_ms);
    let timeout = scaled_micros(deadline, random.uniform_in(shortest, longest));
    // The moment is drawn whether or not it counts, so that the share moves no other draw.
    let disconnects = random.bernoulli(scenario.clients.disconnect_share);
    let disconnects_at = now + scaled_micros(timeout, random.uniform());
    RequestTimeout {
        timeout_at: (now + timeout).min(arrival.deadline),
        disconnects_at: disconnects.then_some(disconnects_at),
    }
}

#[cfg(test)]
mod tests;
