//! Independent random streams, one per purpose and index, so that adding a server, for example,
//! does not change the arrivals.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp1, LogNormal, StandardNormal};

use crate::conversion::u64_from_count;

/// What a stream is used for. The values select the streams of a seed, so changing one changes the
/// result of every seed.
#[derive(Clone, Copy, Debug)]
pub enum StreamId {
    /// Times of arrivals; indexed by sidecar.
    Arrivals = 1,
    /// Class, tenant and work of arrivals; indexed by sidecar.
    Work = 2,
    /// Timeouts, disconnects and backoffs of clients; indexed by sidecar or by arrival.
    Clients = 3,
    /// Network delays, and the noise of attempts; indexed by sidecar.
    Network = 4,
    /// Speeds and errors of servers, indexed by server; also resets and malformed responses.
    Servers = 5,
    /// Shares of the traffic that the sidecars receive.
    TrafficShares = 6,
    /// Targets of faults; indexed by fault.
    Faults = 7,
    /// Propagation delays of changes to the endpoint list.
    Discovery = 8,
    /// Seeds of the balancers; indexed by sidecar.
    Seeds = 9,
    /// Drift of the load.
    LoadDrift = 10,
    /// Errors of work hints; indexed by sidecar.
    WorkHints = 11,
}

/// Bits of a stream number that hold the index; the [`StreamId`] is stored above them.
const INDEX_BITS: u32 = 40;

/// One random stream.
#[derive(Clone, Debug)]
pub struct RandomStream(ChaCha8Rng);

impl RandomStream {
    /// Creates the stream of the scenario's `seed` for a purpose and an index, such as the index of
    /// a sidecar.
    pub fn new(seed: u64, id: StreamId, index: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream((id as u64) << INDEX_BITS | u64_from_count(index));
        Self(rng)
    }

    /// Uniform in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0.random()
    }

    /// Uniform in [`low`, `high`).
    pub fn uniform_in(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.uniform()
    }

    /// Uniform integer below `count`; 0 if `count` is 0.
    pub fn index_below(&mut self, count: usize) -> usize {
        self.0.random_range(0..count.max(1))
    }

    /// Uniform over all `u64` values.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }

    /// True with this probability. Draws nothing if the probability is not positive.
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

    /// Lognormal with mean 1 and this coefficient of variation; 1 if the parameter is not valid.
    pub fn lognormal(&mut self, coefficient_of_variation: f64) -> f64 {
        let variance = (1.0 + coefficient_of_variation * coefficient_of_variation).ln();
        let distribution = LogNormal::new(-variance / 2.0, variance.sqrt());
        distribution.map_or(1.0, |lognormal| lognormal.sample(&mut self.0))
    }

    /// An index drawn with probability proportional to its weight; the last index if rounding
    /// leaves a remainder.
    pub fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let mut remaining = self.uniform() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        found.unwrap_or(weights.len().saturating_sub(1))
    }
}
