//! Distribution of the fleet's latencies, modelled as log-normal.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::smoothing::FLEET_SMOOTHING_FACTOR;
use crate::state::{InFlightAttempt, ServerState};

/// Median latency before any response, as a fraction of the shortest latency objective. Only the
/// first responses depend on it.
const INITIAL_LATENCY_FRACTION: f64 = 1.0 / 4.0;
/// Lower bound of the variance of the natural logarithm of latencies: if all latencies are equal, a
/// slightly longer one must not count as impossible.
const MIN_LOG_VARIANCE: f64 = 0.1;

/// Moving mean and variance of the natural logarithm of latencies in microseconds.
pub(crate) struct LatencyDistribution {
    log_mean: f64,
    log_variance: f64,
}

impl LatencyDistribution {
    /// Creates a distribution without responses; `shortest_objective` is in microseconds.
    pub(crate) fn new(shortest_objective: f64) -> Self {
        Self {
            log_mean: (shortest_objective * INITIAL_LATENCY_FRACTION).ln(),
            log_variance: 1.0,
        }
    }

    /// Updates the distribution with a latency, in microseconds.
    pub(crate) fn on_response(&mut self, latency: f64) {
        let deviation = latency.max(1.0).ln() - self.log_mean;
        self.log_mean += FLEET_SMOOTHING_FACTOR * deviation;
        self.log_variance = (self.log_variance
            + FLEET_SMOOTHING_FACTOR * (deviation * deviation - self.log_variance))
            .max(MIN_LOG_VARIANCE);
    }

    /// Returns the surprisal, in nats, of all attempts in flight at a healthy server having waited
    /// so long for a response. The wait of an attempt counts from when it was sent, or from when
    /// the server last served another attempt.
    pub(crate) fn no_response_surprisal(&self, server: &ServerState, now: Micros) -> f64 {
        let waiting_since =
            |attempt: &InFlightAttempt| attempt.sent_at.max(server.failures.last_served_at());
        let wait = |attempt| now.saturating_sub(waiting_since(attempt)).max(1) as f64;
        server
            .in_flight()
            .iter()
            .map(|attempt| self.tail_surprisal(wait(attempt)))
            .sum()
    }

    /// Returns the surprisal of a latency above this one, in nats; `latency` is in microseconds.
    fn tail_surprisal(&self, latency: f64) -> f64 {
        normal_tail_surprisal((latency.ln() - self.log_mean) / self.log_variance.sqrt())
    }
}

/// Returns the negative natural logarithm of the probability that a standard normal variable
/// exceeds `z`, to within a few per cent.
fn normal_tail_surprisal(z: f64) -> f64 {
    if z < 0.0 {
        0.69 * (1.3 * z).exp()
    } else {
        0.69 + z * (0.8 + 0.39 * z)
    }
}
