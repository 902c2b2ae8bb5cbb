//! What terminals want, and when: drawn alike for both engines, one sidecar's terminals at a time.

use crate::random::{RandomStream, StreamId};
use crate::scenario::{Fault, FaultKind, Micros, Scenario, from_s};

/// One wish, drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub at: Micros,
    pub class: u16,
    pub shop: u16,
    /// Work in microseconds of a standard core.
    pub work: f64,
    /// What its terminal says of the work.
    pub hint: Option<Micros>,
    /// Its terminal keeps to the pause of a refusal.
    pub honours: bool,
}

/// The wishes at one sidecar, in the order of their times.
#[derive(Clone, Debug)]
pub struct ArrivalStream {
    day: Scenario,
    part: f64,
    arrivals: RandomStream,
    work: RandomStream,
    terminals: RandomStream,
    hints: RandomStream,
    wander: Vec<f64>,
    at: Micros,
    classes: Vec<f64>,
    shops: Vec<f64>,
}

/// How the load wanders between 0 and 1, second by second: alike at all sidecars.
fn wander(day: &Scenario) -> Vec<f64> {
    let mut stream = RandomStream::new(day.seed, StreamId::Load, 0);
    let mut at: f64 = 0.5;
    let step = |_| {
        at = (at + stream.between(-0.12, 0.12) + 0.05 * (0.5 - at)).clamp(0.0, 1.0);
        at
    };
    (0..day.seconds.ceil() as usize + 1).map(step).collect()
}

/// Parts of the traffic that the sidecars get, adding up to 1.
pub fn parts(day: &Scenario) -> Vec<f64> {
    let mut stream = RandomStream::new(day.seed, StreamId::Fleet, 1 << 20);
    let parts: Vec<f64> = (0..day.sidecars.count)
        .map(|_| stream.lognormal(day.sidecars.skew))
        .collect();
    let sum: f64 = parts.iter().sum();
    parts.into_iter().map(|p| p / sum).collect()
}

impl ArrivalStream {
    /// The wishes at the sidecar of that number, which gets that part of the traffic.
    pub fn new(day: &Scenario, number: usize, part: f64) -> Self {
        let stream = |cause| RandomStream::new(day.seed, cause, number);
        Self {
            part,
            arrivals: stream(StreamId::Arrivals),
            work: stream(StreamId::Work),
            terminals: stream(StreamId::Clients),
            hints: stream(StreamId::Hints),
            wander: wander(day),
            at: 0,
            classes: day.class.iter().map(|c| c.share).collect(),
            shops: day.tenant.iter().map(|s| s.share * s.usage).collect(),
            day: day.clone(),
        }
    }

    fn draw(&mut self) -> Arrival {
        let (class, shop) = (self.work.pick(&self.classes), self.work.pick(&self.shops));
        let mut work = self.work.work(&self.day.class[class]);
        let name = &self.day.class[class].name;
        let dear =
            |t: &&Fault| t.kind == FaultKind::Costly && t.class.as_ref().is_none_or(|c| c == name);
        for trouble in self.day.fault.iter().filter(dear) {
            // Drawn whether or not it is on, so that a trouble moves no other draw.
            let hit = self.work.unit() < trouble.share;
            if hit && trouble.is_on(self.at) {
                work *= trouble.factor;
            }
        }
        let honours = self.terminals.chance(self.day.clients.honour_retry_after);
        let off = |spread: f64| (spread * self.hints.normal()).exp();
        let hint = self
            .day
            .load
            .work_hints
            .map(off)
            .map(|off| (work * off).max(1.0) as Micros);
        Arrival {
            at: self.at,
            class: class as u16,
            shop: shop as u16,
            work,
            hint,
            honours,
        }
    }
}

impl Iterator for ArrivalStream {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let end = from_s(self.day.seconds);
        loop {
            let wander = self
                .wander
                .get((self.at / 1_000_000) as usize)
                .copied()
                .unwrap_or(0.5);
            let rate = self.day.rate_at(self.at, wander) * self.part;
            // A load that is nothing now may rise: it is looked at again in a while.
            let wait = if rate > 0.0 {
                self.arrivals.exp() / rate * 1e6
            } else {
                1e6
            };
            self.at = self.at.saturating_add(wait.min(1e13) as Micros);
            if self.at >= end {
                return None;
            }
            if rate > 0.0 {
                return Some(self.draw());
            }
        }
    }
}

/// What a shop may ask for within its share: tokens that come at its share of the quota.
#[derive(Clone, Copy, Debug)]
pub struct TenantQuota {
    rate: f64,
    tokens: f64,
    at: Micros,
}

impl TenantQuota {
    /// Takes a token; false for what lies beyond the share.
    pub fn take(&mut self, now: Micros) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.tokens = (self.tokens + passed * self.rate).min(self.rate.max(1.0));
        self.at = now;
        let within = self.tokens >= 1.0;
        self.tokens -= if within { 1.0 } else { 0.0 };
        within
    }
}

/// One quota for each shop, full at the start.
pub fn quotas(day: &Scenario) -> Vec<TenantQuota> {
    let all = day.full_rate() * day.rules.quota_of_capacity;
    let quota = |share: f64| TenantQuota {
        rate: share * all,
        tokens: (share * all).max(1.0),
        at: 0,
    };
    day.tenant.iter().map(|s| quota(s.share)).collect()
}
