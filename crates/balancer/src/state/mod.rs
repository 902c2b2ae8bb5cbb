//! What a balancer remembers, and how it writes to its peers. Decisions are in `policy/`, what responses tell
//! in `estimators/`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::f64::consts::LN_2;

use crate::policy::{INITIAL_POLL_BACKOFF, INITIAL_RETRY_BUDGET};
use crate::*;

/// Where actions are pushed.
pub(crate) type Actions = Vec<Action>;

pub(crate) const TICK_TOKEN: u64 = 0;
pub(crate) const REQUEST_TIMER_TOKEN: u64 = 1;

/// Decides for one sidecar. Instances share nothing.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Micros,
    pub(crate) started: bool,
    pub(crate) servers: Vec<ServerState>,
    pub(crate) index_by_id: BTreeMap<ServerId, usize>,
    pub(crate) subset_order: Vec<usize>,
    /// Pace of each kind of machine of which one has served.
    pub(crate) latency_by_machine_type: BTreeMap<u32, f64>,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    pub(crate) request_timers: BTreeSet<(Micros, RequestId)>,
    pub(crate) health_check_queue: Vec<ServerId>,
    pub(crate) next_health_check_at: Micros,
    pub(crate) last_health_check_at: Micros,
    pub(crate) suspect_is_next: bool,
    pub(crate) request_rate: DecayingRate,
    /// Sizes of what was sent, and a warm server's part of it a microsecond.
    pub(crate) work_rate: DecayingRate,
    pub(crate) warm_server_quota: f64,
    pub(crate) gossip: GossipQueue,
    pub(crate) log_latency_mean: f64,
    pub(crate) log_latency_variance: f64,
    pub(crate) saturation: f64,
    pub(crate) saturation_updated_at: Micros,
    pub(crate) mean_service_time: f64,
    pub(crate) utilization: f64,
    /// Servers whose last probe failed.
    pub(crate) failed_health_checks: usize,
    pub(crate) fleet_error_rate: f64,
    pub(crate) mean_work: f64,
    pub(crate) mean_priority_weight: f64,
    /// Share of the requests that the fleet has no time for.
    pub(crate) missed_objective_rate: f64,
    pub(crate) retry_budget: f64,
    pub(crate) version: u64,
    pub(crate) subscribed: bool,
    pub(crate) next_poll_at: Option<Micros>,
    pub(crate) poll_backoff: Micros,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let first = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(1) as f64;
        let mut new = Self::blank(settings, seed);
        new.log_latency_mean = (first / 4.0).ln();
        new.log_latency_variance = 1.0;
        new.mean_service_time = first / 8.0;
        new.utilization = 0.5;
        new.retry_budget = INITIAL_RETRY_BUDGET;
        new.poll_backoff = INITIAL_POLL_BACKOFF;
        Ok(new)
    }

    pub(crate) fn find(&self, id: ServerId) -> Option<usize> {
        self.index_by_id.get(&id).copied()
    }

    pub(crate) fn class(&self, request: &RequestState) -> &RequestClass {
        &self.settings.classes[usize::from(request.class.0)]
    }

    /// With nothing known.
    pub(crate) fn blank(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            started: false,
            servers: Vec::new(),
            index_by_id: BTreeMap::new(),
            subset_order: Vec::new(),
            latency_by_machine_type: BTreeMap::new(),
            requests: BTreeMap::new(),
            request_timers: BTreeSet::new(),
            health_check_queue: Vec::new(),
            next_health_check_at: 0,
            last_health_check_at: 0,
            suspect_is_next: false,
            request_rate: DecayingRate::default(),
            work_rate: DecayingRate::default(),
            warm_server_quota: 0.0,
            gossip: GossipQueue::default(),
            log_latency_mean: 0.0,
            log_latency_variance: 0.0,
            saturation: 0.0,
            saturation_updated_at: 0,
            mean_service_time: 0.0,
            utilization: 0.0,
            failed_health_checks: 0,
            fleet_error_rate: 0.0,
            mean_work: 0.0,
            mean_priority_weight: 0.0,
            missed_objective_rate: 0.0,
            retry_budget: 0.0,
            version: 0,
            subscribed: false,
            next_poll_at: None,
            poll_backoff: 0,
        }
    }

    pub(crate) fn random_peer(&mut self) -> Option<u32> {
        let peer = self.settings.has_peers().then(|| self.rng.u32(0..self.settings.balancer_count - 1))?;
        Some(if peer >= self.settings.balancer_index { peer + 1 } else { peer })
    }

    /// Gossips the suspicion of a server about log N times.
    pub(crate) fn queue_suspicion(&mut self, i: usize) {
        let times = u32::BITS - self.settings.balancer_count.leading_zeros() + 1;
        self.gossip.add(say(SAY_SUSPECT, &self.servers[i]), times);
    }

    /// What is left of something learnt at a time, where half is forgotten in a given span.
    pub(crate) fn decay(&self, since: Micros, half: f64) -> f64 {
        0.5_f64.powf(self.now.saturating_sub(since) as f64 / half)
    }
}

/// Negative logarithm of the chance that a normal variable exceeds z, to within a few per cent.
pub(crate) fn tail_improbability(z: f64) -> f64 {
    if z < 0.0 { 0.69 * (1.3 * z).exp() } else { 0.69 + z * (0.8 + 0.39 * z) }
}

impl Settings {
    /// True where there is somebody to message.
    pub(crate) fn has_peers(&self) -> bool {
        self.gossip && self.balancer_count > 1
    }
}

/// Own traffic is forgotten by half in this time.
pub(crate) const REQUEST_RATE_HALF_LIFE: f64 = 5_000_000.0;

/// Events per microsecond, of which half is forgotten in a given time.
#[derive(Default)]
pub(crate) struct DecayingRate {
    count: f64,
    at: Micros,
}

impl DecayingRate {
    fn left(&self, now: Micros, half: f64) -> f64 {
        self.count * 0.5_f64.powf(now.saturating_sub(self.at) as f64 / half)
    }

    pub(crate) fn count(&mut self, now: Micros, half: f64) {
        self.add(1.0, now, half);
    }

    pub(crate) fn add(&mut self, size: f64, now: Micros, half: f64) {
        self.count = size + self.left(now, half);
        self.at = now;
    }

    pub(crate) fn get(&self, now: Micros, half: f64) -> f64 {
        self.left(now, half) * LN_2 / half
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum SuspicionCause {
    HealthChecks,
    Attempts,
    Gossip,
}

impl SuspicionCause {
    /// The log line for it.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::HealthChecks => "suspected: probes fail",
            Self::Attempts => "suspected: work fails or is overdue",
            Self::Gossip => "suspected: a peer says so",
        }
    }
}

#[derive(Clone, Copy)]
pub(crate) struct Suspicion {
    pub(crate) cause: SuspicionCause,
    pub(crate) since: Micros,
    pub(crate) ejection_time: Micros,
}

/// An attempt that is still out.
pub(crate) struct InFlightAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) sent: Micros,
    pub(crate) relative_work: f64,
    pub(crate) queue_depth: f64,
}

/// A server, as this balancer knows it.
#[derive(Default)]
pub(crate) struct ServerState {
    pub(crate) endpoint: Endpoint,
    /// Listed as draining since its last start.
    pub(crate) drained: bool,
    /// Turned work away while nothing was heard of the list: it may drain.
    pub(crate) possibly_draining: bool,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) dead: bool,
    pub(crate) ejections: u32,
    pub(crate) last_ejected_at: Micros,
    /// Attempts that failed since one was served.
    pub(crate) consecutive_failures: u32,
    pub(crate) last_served_at: Micros,
    pub(crate) health_check_started_at: Option<Micros>,
    /// The probe that is out only asks for the load: its failure alone is not confirmed.
    pub(crate) load_only: bool,
    /// The last probe failed.
    pub(crate) last_health_check_failed: bool,
    pub(crate) last_health_check_at: Micros,
    pub(crate) confirm_at: Option<Micros>,
    pub(crate) confirmed_alive: bool,
    pub(crate) indirect_check_requesters: Vec<u32>,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) in_flight_elsewhere: f64,
    pub(crate) load_updated_at: Micros,
    /// Moving means of what reports said it holds, and of own requests at it at the time.
    pub(crate) reported_in_flight: f64,
    pub(crate) own_in_flight: f64,
    /// Share of its attempts that fail.
    pub(crate) failure_rate: f64,
    pub(crate) latency_factor: f64,
    pub(crate) latency_factor_updated_at: Micros,
    pub(crate) cold_since: Option<Micros>,
    /// What was sent to it while it is cold: when, and sizes.
    pub(crate) cold_sent: VecDeque<(Micros, f64)>,
}

impl ServerState {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        let drained = endpoint.status == EndpointStatus::Draining;
        Self {
            endpoint,
            drained,
            confirmed_alive: true,
            latency_factor: 1.0 / endpoint.machine_type.speed,
            ..Self::default()
        }
    }

    pub(crate) fn incarnation(&self) -> Micros {
        self.endpoint.incarnation.unwrap_or(0)
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    InFlight,
    NeverExecuted,
    MayHaveExecuted,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Micros,
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) state: AttemptState,
}

/// A request that is still owed its answer.
#[derive(Default)]
pub(crate) struct RequestState {
    pub(crate) class: ClassId,
    pub(crate) arrived: Micros,
    pub(crate) objective_at: Micros,
    pub(crate) deadline_at: Micros,
    pub(crate) relative_work: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Servers asked for their load, and those of them that have not answered yet.
    pub(crate) load_checked: Vec<ServerId>,
    pub(crate) awaited_load_checks: Vec<ServerId>,
    pub(crate) streaming: bool,
    /// When to look at it again; alarms set earlier for another time are void.
    pub(crate) wake_at: Micros,
}

/// Where a further attempt may go.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum RetryScope {
    Anywhere,
    Zone(u32),
    Cell(u32),
}

impl RetryScope {
    pub(crate) fn contains(self, endpoint: &Endpoint) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Zone(zone) => endpoint.zone == zone,
            Self::Cell(cell) => endpoint.cell == cell,
        }
    }
}

// Messages between balancers: what is said, the server's fingerprint, and its incarnation.

pub(crate) const SAY_ASK: u8 = 0;
pub(crate) const SAY_REACHED: u8 = 1;
pub(crate) const SAY_SUSPECT: u8 = 2;

pub(crate) fn say(what: u8, server: &ServerState) -> Vec<u8> {
    let mut message = vec![what];
    message.extend_from_slice(&server.endpoint.stable_hash.to_be_bytes());
    message.extend_from_slice(&server.incarnation().to_be_bytes());
    message
}

/// The parts of a message: several may come together.
pub(crate) fn unpack(message: &[u8]) -> impl Iterator<Item = (u8, u64, Micros)> + '_ {
    message.chunks_exact(17).filter_map(|part| {
        let (&what, rest) = part.split_first()?;
        let (name, incarnation) = rest.split_first_chunk::<8>()?;
        let incarnation: [u8; 8] = incarnation.try_into().ok()?;
        Some((what, u64::from_be_bytes(*name), Micros::from_be_bytes(incarnation)))
    })
}

/// Suspicions that are still to be told, and how often each.
#[derive(Default)]
pub(crate) struct GossipQueue(Vec<(Vec<u8>, u32)>);

impl GossipQueue {
    pub(crate) fn add(&mut self, message: Vec<u8>, times: u32) {
        self.0.push((message, times));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The next message: as many suspicions as asked for, in turn.
    pub(crate) fn next(&mut self, most: usize) -> Vec<u8> {
        let told = self.0.len().min(most);
        let message = self.0[..told].iter().flat_map(|g| g.0.iter().copied()).collect();
        self.0[..told].iter_mut().for_each(|g| g.1 -= 1);
        self.0.rotate_left(told);
        self.0.retain(|(_, times)| *times > 0);
        message
    }
}
