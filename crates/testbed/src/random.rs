//! Random streams, one for each cause, so that a further server does not reshuffle arrivals.
//!
//! Draws numbers only; what they decide is their users'.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp1, LogNormal, StandardNormal};

use crate::conversion::u64_from_count;

/// What a stream is drawn for. The numbers are part of what a seed means: they stay.
#[derive(Clone, Copy, Debug)]
pub enum StreamId {
    /// Times of arrivals, by sidecar.
    Arrivals = 1,
    /// Class, tenant and work of arrivals, by sidecar.
    Work = 2,
    /// What clients do, by sidecar or by arrival.
    Clients = 3,
    /// Delays, and the noise of attempts, by sidecar.
    Network = 4,
    /// Speed and errors of servers, by server; resets and malformed responses.
    Machines = 5,
    /// Shares of the traffic that sidecars get.
    TrafficShares = 6,
    /// Whom faults hit, by fault.
    Faults = 7,
    /// How long changes of the endpoint list take.
    Discovery = 8,
    /// Seeds of balancers, by sidecar.
    Seeds = 9,
    /// How the load drifts.
    LoadDrift = 10,
    /// Errors of work hints, by sidecar.
    WorkHints = 11,
}

/// Bits of a stream's index within its cause, which stands above them.
const INDEX_BITS: u32 = 40;

/// One random stream.
#[derive(Clone, Debug)]
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// The stream of a cause and an index within it, such as a sidecar's; the seed is the
    /// scenario's.
    pub fn new(seed: u64, id: StreamId, index: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream((id as u64) << INDEX_BITS | u64_from_count(index));
        Self(rng)
    }

    /// From 0 up to but not 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.random()
    }

    /// From `least` up to but not `most`.
    pub fn uniform_in(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.uniform()
    }

    /// A whole number below `count`; 0 where that is 0.
    pub fn index_below(&mut self, count: usize) -> usize {
        self.0.random_range(0..count.max(1))
    }

    /// Any whole number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }

    /// True with this probability. Draws nothing where it is 0.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.uniform() < probability
    }

    /// Exponential with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// Standard normal.
    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }

    /// Lognormal with mean 1 and this coefficient of variation; 1 where there is no such
    /// distribution.
    pub fn lognormal(&mut self, coefficient_of_variation: f64) -> f64 {
        let variance = (1.0 + coefficient_of_variation * coefficient_of_variation).ln();
        let distribution = LogNormal::new(-variance / 2.0, variance.sqrt());
        distribution.map_or(1.0, |lognormal| lognormal.sample(&mut self.0))
    }

    /// An index drawn by weights; the last where rounding leaves a rest.
    pub fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let mut rest = self.uniform() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|weight| {
            rest -= weight;
            rest < 0.0
        });
        found.unwrap_or(weights.len().saturating_sub(1))
    }
}
