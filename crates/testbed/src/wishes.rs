//! What terminals want, and when: drawn alike for both engines, one sidecar's terminals at a time.

use crate::chance::{Cause, Stream};
use crate::scenario::{Day, Micros, Trouble, What, from_s};

/// One wish, drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wish {
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
pub struct Wishes {
    day: Day,
    part: f64,
    arrivals: Stream,
    work: Stream,
    terminals: Stream,
    hints: Stream,
    wander: Vec<f64>,
    at: Micros,
    classes: Vec<f64>,
    shops: Vec<f64>,
}

/// How the load wanders between 0 and 1, second by second: alike at all sidecars.
fn wander(day: &Day) -> Vec<f64> {
    let mut stream = Stream::new(day.seed, Cause::Load, 0);
    let mut at: f64 = 0.5;
    let step = |_| {
        at = (at + stream.between(-0.12, 0.12) + 0.05 * (0.5 - at)).clamp(0.0, 1.0);
        at
    };
    (0..day.seconds.ceil() as usize + 1).map(step).collect()
}

/// Parts of the traffic that the sidecars get, adding up to 1.
pub fn parts(day: &Day) -> Vec<f64> {
    let mut stream = Stream::new(day.seed, Cause::Fleet, 1 << 20);
    let parts: Vec<f64> = (0..day.sidecars.count)
        .map(|_| stream.lognormal(day.sidecars.skew))
        .collect();
    let sum: f64 = parts.iter().sum();
    parts.into_iter().map(|p| p / sum).collect()
}

impl Trouble {
    /// True while it goes on.
    pub fn is_on(&self, at: Micros) -> bool {
        let from = from_s(self.at_s);
        (from..from + from_s(self.for_s)).contains(&at)
    }
}

impl Wishes {
    /// The wishes at the sidecar of that number, which gets that part of the traffic.
    pub fn new(day: &Day, number: usize, part: f64) -> Self {
        let stream = |cause| Stream::new(day.seed, cause, number);
        Self {
            part,
            arrivals: stream(Cause::Arrivals),
            work: stream(Cause::Work),
            terminals: stream(Cause::Terminals),
            hints: stream(Cause::Hints),
            wander: wander(day),
            at: 0,
            classes: day.class.iter().map(|c| c.share).collect(),
            shops: day.shop.iter().map(|s| s.share * s.usage).collect(),
            day: day.clone(),
        }
    }

    fn draw(&mut self) -> Wish {
        let (class, shop) = (self.work.pick(&self.classes), self.work.pick(&self.shops));
        let mut work = self.work.work(&self.day.class[class]);
        let name = &self.day.class[class].name;
        let dear =
            |t: &&Trouble| t.what == What::Costly && t.class.as_ref().is_none_or(|c| c == name);
        for trouble in self.day.trouble.iter().filter(dear) {
            // Drawn whether or not it is on, so that a trouble moves no other draw.
            let hit = self.work.unit() < trouble.share;
            if hit && trouble.is_on(self.at) {
                work *= trouble.times;
            }
        }
        let honours = self.terminals.chance(self.day.terminals.honour);
        let off = |spread: f64| (spread * self.hints.normal()).exp();
        let hint = self
            .day
            .load
            .hints
            .map(off)
            .map(|off| (work * off).max(1.0) as Micros);
        Wish {
            at: self.at,
            class: class as u16,
            shop: shop as u16,
            work,
            hint,
            honours,
        }
    }
}

impl Iterator for Wishes {
    type Item = Wish;

    fn next(&mut self) -> Option<Wish> {
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
pub struct Quota {
    rate: f64,
    tokens: f64,
    at: Micros,
}

impl Quota {
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
pub fn quotas(day: &Day) -> Vec<Quota> {
    let all = day.full_rate() * day.rules.quota_of_capacity;
    let quota = |share: f64| Quota {
        rate: share * all,
        tokens: (share * all).max(1.0),
        at: 0,
    };
    day.shop.iter().map(|s| quota(s.share)).collect()
}
