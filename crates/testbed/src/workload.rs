//! What clients ask for, and when: drawn alike for both engines, one sidecar's clients at a time.
//!
//! Owns the arrivals, their work and the sidecars' shares of them; `quota` has the tenants' quotas.
//! What clients do about slow and failed requests is the engines'.

mod quota;

use crate::conversion::{
    MICROS_PER_MS, MICROS_PER_S, count_from_f64, micros_from_f64, second_floor,
};
use crate::index::{ClassIndex, SidecarIndex, TenantIndex};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{Class, FaultKind, Micros, Scenario, WorkDistribution, from_s};

pub use quota::{TenantQuota, quotas};

/// Largest step of the load's drift in a second, as a share of its range.
const DRIFT_STEP: f64 = 0.12;
/// Middle of the load's drift, from which it starts.
const DRIFT_MIDDLE: f64 = 0.5;
/// Part of its distance to the middle that it goes back in a second.
const DRIFT_RETURN: f64 = 0.05;
/// Index of the stream for the sidecars' shares of the traffic.
const TRAFFIC_SHARES_STREAM: usize = 1 << 20;
/// Longest time between two arrivals, in microseconds: beyond any scenario's length.
const MAX_INTERVAL: f64 = 1e13;

/// What a client wants, drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, in microseconds from the start of the run.
    pub at: Micros,
    /// Index of its class.
    pub class: ClassIndex,
    /// Index of its tenant.
    pub tenant: TenantIndex,
    /// Work in microseconds of a standard core.
    pub work: f64,
    /// What its client hints of the work, in microseconds of a standard core.
    pub work_hint: Option<Micros>,
    /// Whether its client keeps to a Retry-After.
    pub honours_retry_after: bool,
}

/// The arrivals at one sidecar, in the order of their times.
#[derive(Clone, Debug)]
pub struct ArrivalStream {
    scenario: Scenario,
    /// The sidecar's share of the traffic.
    traffic_share: f64,
    arrival_random: RandomStream,
    work_random: RandomStream,
    client_random: RandomStream,
    hint_random: RandomStream,
    /// How the load drifts, second by second.
    load_drift: Vec<f64>,
    /// The last arrival drawn.
    now: Micros,
    class_weights: Vec<f64>,
    tenant_weights: Vec<f64>,
}

/// How the load drifts between 0 and 1, second by second: alike at all sidecars.
fn load_drift(scenario: &Scenario) -> Vec<f64> {
    let mut random = RandomStream::new(scenario.seed, StreamId::LoadDrift, 0);
    let mut level: f64 = DRIFT_MIDDLE;
    let seconds = count_from_f64(scenario.seconds.ceil()) + 1;
    let levels = (0..seconds).map(|_| {
        let step = random.between(-DRIFT_STEP, DRIFT_STEP);
        level = (level + step + DRIFT_RETURN * (DRIFT_MIDDLE - level)).clamp(0.0, 1.0);
        level
    });
    levels.collect()
}

/// Shares of the traffic that the sidecars get, adding up to 1.
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

/// Work of a request of a class, in microseconds of a standard core.
fn draw_work(random: &mut RandomStream, class: &Class) -> f64 {
    let mean = class.work_ms * MICROS_PER_MS;
    match class.dist {
        WorkDistribution::Fixed => mean,
        WorkDistribution::Exponential => mean * random.exponential(),
        WorkDistribution::Lognormal => mean * random.lognormal(class.cv),
    }
}

impl ArrivalStream {
    /// The arrivals at a sidecar, which gets a share of the traffic.
    pub fn new(scenario: &Scenario, sidecar: SidecarIndex, traffic_share: f64) -> Self {
        let stream = |cause| RandomStream::new(scenario.seed, cause, sidecar.index());
        let tenants = scenario.tenant.iter();
        Self {
            traffic_share,
            arrival_random: stream(StreamId::Arrivals),
            work_random: stream(StreamId::Work),
            client_random: stream(StreamId::Clients),
            hint_random: stream(StreamId::WorkHints),
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
        let work = self.draw_work_of(class);
        let clients = &self.scenario.clients;
        let honours = self.client_random.chance(clients.honour_retry_after);
        Arrival {
            at: self.now,
            class,
            tenant,
            work,
            work_hint: self.draw_hint(work),
            honours_retry_after: honours,
        }
    }

    /// Work of a request of a class now, in microseconds of a standard core, faults included.
    fn draw_work_of(&mut self, class: ClassIndex) -> f64 {
        let class = &self.scenario.class[class.index()];
        let mut work = draw_work(&mut self.work_random, class);
        for fault in &self.scenario.fault {
            let of_class = fault.class.as_ref().is_none_or(|name| *name == class.name);
            if fault.kind != FaultKind::ExpensiveRequests || !of_class {
                continue;
            }
            // Drawn whether or not it is on, so that a fault moves no other draw.
            let hit = self.work_random.unit() < fault.share;
            if hit && fault.is_active(self.now) {
                work *= fault.factor;
            }
        }
        work
    }

    /// A hint of some work, off by a random factor, where clients give hints.
    fn draw_hint(&mut self, work: f64) -> Option<Micros> {
        let spread = self.scenario.load.work_hints?;
        let factor = (spread * self.hint_random.normal()).exp();
        Some(micros_from_f64((work * factor).max(1.0)))
    }

    /// Arrivals a second now.
    fn rate(&self) -> f64 {
        let load_drift = self.load_drift.get(second_floor(self.now)).copied();
        let all = self
            .scenario
            .rate_at(self.now, load_drift.unwrap_or(DRIFT_MIDDLE));
        all * self.traffic_share
    }
}

impl Iterator for ArrivalStream {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let end = from_s(self.scenario.seconds);
        loop {
            let rate = self.rate();
            // A load that is nothing now may rise: it is looked at again in a second.
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
