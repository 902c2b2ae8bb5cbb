//! The simulator's clients: they send requests, time out, disconnect and retry.
//!
//! An arrival is a client's first request with all its retries. If `load.max_open_requests`
//! requests are open when it starts, it is not played: no request is sent for it. It takes from its
//! tenant's quota in either case. `responses` handles the end of a request at its client, and
//! `sidecars` handles a request at its sidecar.

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

/// Added to a sidecar's index for the random stream of its clients' requests. The stream at the
/// index itself belongs to `ArrivalStream`.
const RANDOM_STREAM_OFFSET: usize = 1 << 30;

/// An arrival whose client waits for a response, or for the time of a retry.
struct OpenArrival {
    /// Number in the event log.
    number: ArrivalNumber,
    sidecar: SidecarIndex,
    class: ClassIndex,
    /// Work in microseconds of a standard core.
    work: f64,
    /// Work hint that the client sends, in microseconds of a standard core.
    work_hint: Option<Micros>,
    deadline: Micros,
    /// Number of requests sent so far.
    requests: u32,
    /// Whether the client waits as long as a Retry-After header asks.
    honours_retry_after: bool,
}

/// The clients of one sidecar.
struct SidecarClients {
    arrivals: ArrivalStream,
    /// Draws timeouts, disconnects and backoffs.
    random: RandomStream,
}

impl SidecarClients {
    /// The clients of a sidecar, which send this fraction of all traffic.
    fn new(scenario: &Scenario, sidecar: SidecarIndex, traffic_share: f64) -> Self {
        // Requests draw from a separate stream, so that the arrivals do not depend on them.
        let stream = sidecar.index() + RANDOM_STREAM_OFFSET;
        Self {
            arrivals: ArrivalStream::new(scenario, sidecar, traffic_share),
            random: RandomStream::new(scenario.seed, StreamId::Clients, stream),
        }
    }
}

/// How long the client of a request waits for the response: until its timeout, or until it
/// disconnects.
struct WaitLimits {
    times_out_at: Micros,
    disconnects_at: Option<Micros>,
}

impl WaitLimits {
    /// Schedules the timeout and the disconnect, which apply if no response comes before.
    fn schedule(&self, request: RequestKey, context: &mut Context<'_>) {
        context.schedule_at(self.times_out_at, SimulatorEvent::ClientTimeout(request));
        if let Some(at) = self.disconnects_at {
            context.schedule_at(at, SimulatorEvent::ClientDisconnect(request));
        }
    }
}

/// The clients of all sidecars.
pub(super) struct Clients {
    by_sidecar: Vec<SidecarClients>,
    quotas: Vec<TenantQuota>,
    arrivals: SlotMap<ArrivalKey, OpenArrival>,
    requests: SlotMap<RequestKey, Request>,
    /// The next number in the sequence that arrivals and requests share.
    next_number: u64,
    /// Count of the arrivals that were not played.
    not_played: u64,
}

impl Clients {
    /// Creates a scenario's clients, without any arrival.
    pub(super) fn new(scenario: &Scenario) -> Self {
        let shares = traffic_shares(scenario);
        let indexed = SidecarIndex::all(shares.len()).zip(shares);
        let clients = indexed.map(|(index, share)| SidecarClients::new(scenario, index, share));
        Self {
            by_sidecar: clients.collect(),
            quotas: tenant_quotas(scenario),
            arrivals: SlotMap::with_key(),
            requests: SlotMap::with_key(),
            next_number: 1,
            not_played: 0,
        }
    }

    /// Whether no arrival is open.
    pub(super) fn is_idle(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Returns the count of the arrivals that were not played.
    pub(super) fn not_played(&self) -> u64 {
        self.not_played
    }

    /// Returns a request, or `None` if its client no longer waits for the response.
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
            context.schedule_at(arrival.at, SimulatorEvent::Arrival(sidecar, arrival));
        }
    }

    /// Handles an arrival at a sidecar, whose current process is `process`.
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
        let number = ArrivalNumber::new(self.take_next_number());
        let now = context.now();
        context.record(LogEvent::ArrivalStarted {
            arrival: number,
            sidecar,
            class: arrival.class,
            tenant: arrival.tenant,
            within_quota: self.try_take_quota(arrival.tenant, now),
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

    /// Takes one arrival from the tenant's quota; returns false if the quota is used up. Without
    /// tenants, there is no quota and the result is true.
    fn try_take_quota(&mut self, tenant: TenantIndex, now: Micros) -> bool {
        let quota = self.quotas.get_mut(tenant.index());
        quota.is_none_or(|quota| quota.try_acquire(now))
    }

    /// Sends the first request of an arrival, or a retry, to the current process of its sidecar.
    /// The request arrives there after `client_ms`, the one-way delay between client and sidecar.
    pub(super) fn send_request(
        &mut self,
        key: ArrivalKey,
        process: SidecarProcess,
        context: &mut Context<'_>,
    ) {
        let number = RequestNumber::new(self.take_next_number());
        let Some(arrival) = self.arrivals.get_mut(key) else {
            return;
        };
        arrival.requests += 1;
        let random = &mut self.by_sidecar[process.sidecar.index()].random;
        let wait_limits = draw_wait_limits(arrival, random, context);
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
            deadline: wait_limits.times_out_at,
        });
        context.schedule_after(client_delay, SimulatorEvent::RequestAtSidecar(request));
        wait_limits.schedule(request, context);
    }

    fn take_next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }
}

/// Draws when the client of a request that is sent now times out, and whether and when it
/// disconnects.
fn draw_wait_limits(
    arrival: &OpenArrival,
    random: &mut RandomStream,
    context: &Context<'_>,
) -> WaitLimits {
    let scenario = context.scenario();
    let now = context.now();
    let class = &scenario.class[arrival.class.index()];
    let [shortest, longest] = scenario.clients.timeout_share;
    let deadline = from_ms(class.deadline_ms);
    let timeout = scaled_micros(deadline, random.uniform_in(shortest, longest));
    let disconnects = random.bernoulli(scenario.clients.disconnect_share);
    // Drawn even if the client stays connected: later draws must not depend on that.
    let disconnects_at = now + scaled_micros(timeout, random.uniform());
    WaitLimits {
        times_out_at: (now + timeout).min(arrival.deadline),
        disconnects_at: disconnects.then_some(disconnects_at),
    }
}

#[cfg(test)]
mod tests;
