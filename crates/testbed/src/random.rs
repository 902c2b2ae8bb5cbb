//! Chance, one stream for each cause, so that a further job server does not reshuffle arrivals.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp1, LogNormal, StandardNormal};

use crate::scenario::{Class, WorkDistribution};

/// What draws.
#[derive(Clone, Copy, Debug)]
pub enum StreamId {
    Arrivals = 1,
    Work = 2,
    Clients = 3,
    Network = 4,
    Machines = 5,
    Fleet = 6,
    Troubles = 7,
    Discovery = 8,
    Seeds = 9,
    Load = 10,
    Hints = 11,
}

/// One stream of chance.
#[derive(Clone, Debug)]
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// The stream of a cause and a number within it, such as a sidecar's; the seed is the day's.
    pub fn new(seed: u64, cause: StreamId, number: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream((cause as u64) << 40 | number as u64);
        Self(rng)
    }

    /// From 0 up to but not 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.unit()
    }

    pub fn below(&mut self, count: usize) -> usize {
        self.0.random_range(0..count.max(1))
    }

    pub fn number(&mut self) -> u64 {
        self.0.random()
    }

    pub fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.unit() < share
    }

    /// Exponential with mean 1.
    pub fn exp(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// Standard normal.
    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }

    /// Lognormal with mean 1 and that coefficient of variation.
    pub fn lognormal(&mut self, cv: f64) -> f64 {
        let var = (1.0 + cv * cv).ln();
        LogNormal::new(-var / 2.0, var.sqrt()).map_or(1.0, |d| d.sample(&mut self.0))
    }

    /// Work of one request of a class, in microseconds of a standard core.
    pub fn work(&mut self, class: &Class) -> f64 {
        let mean = class.work_ms * 1_000.0;
        match class.dist {
            WorkDistribution::Fixed => mean,
            WorkDistribution::Exp => mean * self.exp(),
            WorkDistribution::Lognormal => mean * self.lognormal(class.cv),
        }
    }

    /// Index drawn by weights; the last where rounding leaves a rest.
    pub fn pick(&mut self, weights: &[f64]) -> usize {
        let mut at = self.unit() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|w| {
            at -= w;
            at < 0.0
        });
        found.unwrap_or(weights.len().saturating_sub(1))
    }
}
