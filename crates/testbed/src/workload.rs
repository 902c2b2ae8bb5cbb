//! Generates the arrivals at each sidecar: when they come, their class, tenant and work. The
//! simulator and the emulator draw the same arrivals.
//!
//! Also draws the sidecars' shares of the traffic; `quota` has the tenants' quotas. Timeouts and
//! retries of clients are implemented by the simulator and the emulator.

mod quota;

use crate::conversion::{
    MICROS_PER_MS, MICROS_PER_S, count_from_f64, micros_from_f64, second_floor,
};
use crate::index::{ClassIndex, SidecarIndex, TenantIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Class, FaultKind, Micros, Scenario, WorkDistribution, from_s};

pub use quota::{TenantQuota, tenant_quotas};

/// Largest random step of the load drift per second, as a fraction of its range.
const MAX_DRIFT_STEP: f64 = 0.12;
/// Initial and long-term mean of the load drift.
const DRIFT_MEAN: f64 = 0.5;
/// Fraction of its distance from the mean by which the load drift reverts per second.
const DRIFT_REVERSION: f64 = 0.05;
/// Index of the random stream for the sidecars' shares of the traffic.
const TRAFFIC_SHARES_STREAM: usize = 1 << 20;
/// Longest time between two arrivals, in microseconds; longer than any scenario.
const MAX_INTERVAL: f64 = 1e13;

/// One operation that a client wants done. It leads to one request, or to several if the client
/// retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Microseconds since the start of the run.
    pub at: Micros,
    /// Request class.
    pub class: ClassIndex,
    /// Tenant that the client belongs to.
    pub tenant: TenantIndex,
    /// Work in microseconds of a standard core.
    pub work: f64,
    /// Work hint that the client sends, in microseconds of a standard core.
    pub work_hint: Option<Micros>,
    /// Whether the client waits as long as a Retry-After header asks.
    pub honours_retry_after: bool,
}

/// Iterator over the arrivals at one sidecar, in order of time.
#[derive(Clone, Debug)]
pub struct ArrivalStream {
    scenario: Scenario,
    /// Fraction of all traffic that this sidecar receives.
    traffic_share: f64,
    arrival_random: RandomStream,
    work_random: RandomStream,
    client_random: RandomStream,
    work_hint_random: RandomStream,
    /// Load drift for each second, from 0 to 1.
    load_drift: Vec<f64>,
    /// Time of the last arrival drawn.
    now: Micros,
    class_weights: Vec<f64>,
    tenant_weights: Vec<f64>,
}

/// Draws the load drift for each second, from 0 to 1. It is the same at all sidecars.
fn load_drift(scenario: &Scenario) -> Vec<f64> {
    let mut random = RandomStream::new(scenario.seed, StreamId::LoadDrift, 0);
    let mut level: f64 = DRIFT_MEAN;
    let seconds = count_from_f64(scenario.seconds.ceil()) + 1;
    let levels = (0..seconds).map(|_| {
        let step = random.uniform_in(-MAX_DRIFT_STEP, MAX_DRIFT_STEP);
        level = (level + step + DRIFT_REVERSION * (DRIFT_MEAN - level)).clamp(0.0, 1.0);
        level
    });
    levels.collect()
}

/// Draws the fraction of all traffic that each sidecar receives; the fractions add up to 1.
pub fn traffic_shares(scenario: &Scenario) -> Vec<f64> {
    let mut random = RandomStream::new(
        scenario.seed,
        StreamId::TrafficShares,
        TRAFFIC_SHARES_STREAM,
    );
    let sidecars = &scenario.sidecars;
    let weights: Vec<f64> = (0..sidecars.count)
        .map(|_| random.lognormal(sidecars.skew))
        .collect();
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum).collect()
}

/// Draws the work of an arrival of a class without faults, in microseconds of a standard core.
fn draw_work(random: &mut RandomStream, class: &Class) -> f64 {
    let mean = class.work_ms * MICROS_PER_MS;
    match class.dist {
        WorkDistribution::Fixed => mean,
        WorkDistribution::Exponential => mean * random.exponential(),
        WorkDistribution::Lognormal => mean * random.lognormal(class.cv),
    }
}

impl ArrivalStream {
    /// The arrivals at a sidecar that receives this fraction of all traffic.
    pub fn new(scenario: &Scenario, sidecar: SidecarIndex, traffic_share: f64) -> Self {
        let random_stream = |id| RandomStream::new(scenario.seed, id, sidecar.index());
        let tenants = scenario.tenant.iter();
        Self {
            traffic_share,
            arrival_random: random_stream(StreamId::Arrivals),
            work_random: random_stream(StreamId::Work),
            client_random: random_stream(StreamId::Clients),
            work_hint_random: random_stream(StreamId::WorkHints),
            load_drift: load_drift(scenario),
            now: 0,
            class_weights: scenario.class.iter().map(|class| class.share).collect(),
            tenant_weights: tenants.map(|tenant| tenant.share * tenant.usage).collect(),
            scenario: scenario.clone(),
        }
    }

    fn draw_arrival(&mut self) -> Arrival {
        let class = self.work_random.weighted_index(&self.class_weights);
        let class = ClassIndex::from_position(class);
        let tenant = self.work_random.weighted_index(&self.tenant_weights);
        let tenant = TenantIndex::from_position(tenant);
        let work = self.draw_work_with_faults(class);
        let clients = &self.scenario.clients;
        let honours_retry_after = self.client_random.bernoulli(clients.honour_retry_after);
        Arrival {
            at: self.now,
            class,
            tenant,
            work,
            work_hint: self.draw_work_hint(work),
            honours_retry_after,
        }
    }

    /// Draws the work of an arrival of a class now, in microseconds of a standard core. Faults that
    /// make requests expensive are applied.
    fn draw_work_with_faults(&mut self, class: ClassIndex) -> f64 {
        let class = &self.scenario.class[class.index()];
        let mut work = draw_work(&mut self.work_random, class);
        for fault in &self.scenario.fault {
            let matches_class = fault.class.as_ref().is_none_or(|name| *name == class.name);
            if fault.kind != FaultKind::ExpensiveRequests || !matches_class {
                continue;
            }
            // Drawn even while the fault is off, so that a fault doesn't shift later draws.
            let is_affected = self.work_random.uniform() < fault.share;
            if is_affected && fault.is_active(self.now) {
                work *= fault.factor;
            }
        }
        work
    }

    /// Draws the work hint of an arrival: its work times a random factor. Absent if clients send no
    /// hints.
    fn draw_work_hint(&mut self, work: f64) -> Option<Micros> {
        let spread = self.scenario.load.work_hints?;
        let factor = (spread * self.work_hint_random.normal()).exp();
        Some(micros_from_f64((work * factor).max(1.0)))
    }

    /// Arrivals per second at this sidecar now.
    fn rate(&self) -> f64 {
        let load_drift = self.load_drift.get(second_floor(self.now)).copied();
        let total_rate = self
            .scenario
            .rate_at(self.now, load_drift.unwrap_or(DRIFT_MEAN));
        total_rate * self.traffic_share
    }
}

impl Iterator for ArrivalStream {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let end = from_s(self.scenario.seconds);
        loop {
            let rate = self.rate();
            // The rate may become positive later, so it is checked again after a second.
            let interval = if rate > 0.0 {
                self.arrival_random.exponential() / rate * MICROS_PER_S
            } else {
                MICROS_PER_S
            };
            let interval = micros_from_f64(interval.min(MAX_INTERVAL));
            self.now = self.now.saturating_add(interval);
            if self.now >= end {
                return None;
            }
            if rate > 0.0 {
                return Some(self.draw_arrival());
            }
        }
    }
}
