//! The distribution of the fleet's latencies, taken as log-normal.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::estimators::smoothing::FLEET_SMOOTHING_FACTOR;
use crate::state::{InFlightAttempt, ServerState};

/// Typical latency before any response, as a share of the shortest latency objective. Only the
/// first responses depend on it. Inherited with the first version of the module; its source was not
/// recorded.
const INITIAL_LATENCY_SHARE: f64 = 1.0 / 4.0;
/// Least variance of the natural logarithm of latencies: where all latencies are equal, a slightly
/// longer one must not count as impossible. Inherited with the first version of the module; its
/// source was not recorded.
const MIN_LOG_VARIANCE: f64 = 0.1;

/// Moving mean and variance of the logarithm of latencies in microseconds.
pub(crate) struct LatencyDistribution {
    log_mean: f64,
    log_variance: f64,
}

impl LatencyDistribution {
    /// A distribution that has seen no response; `shortest_objective` is in microseconds.
    pub(crate) fn new(shortest_objective: f64) -> Self {
        Self {
            log_mean: (shortest_objective * INITIAL_LATENCY_SHARE).ln(),
            log_variance: 1.0,
        }
    }

    /// A server responded after so many microseconds.
    pub(crate) fn on_response(&mut self, latency: f64) {
        let deviation = latency.max(1.0).ln() - self.log_mean;
        self.log_mean += FLEET_SMOOTHING_FACTOR * deviation;
        self.log_variance = (self.log_variance
            + FLEET_SMOOTHING_FACTOR * (deviation * deviation - self.log_variance))
            .max(MIN_LOG_VARIANCE);
    }

    /// Negative logarithm of the chance that a sound server leaves all attempts at it without a
    /// response for so long, counted from their send or from its last response.
    pub(crate) fn silence_surprisal(&self, server: &ServerState, now: Micros) -> f64 {
        let silent_since =
            |attempt: &InFlightAttempt| attempt.sent_at.max(server.failures.last_served_at());
        let silence = |attempt| now.saturating_sub(silent_since(attempt)).max(1) as f64;
        server
            .in_flight()
            .iter()
            .map(|attempt| self.tail_surprisal(silence(attempt)))
            .sum()
    }

    /// Negative logarithm of the chance that a response takes longer than this, in microseconds.
    fn tail_surprisal(&self, latency: f64) -> f64 {
        normal_tail_surprisal((latency.ln() - self.log_mean) / self.log_variance.sqrt())
    }
}

/// Negative logarithm of the chance that a normal variable exceeds z, to within a few per cent.
fn normal_tail_surprisal(z: f64) -> f64 {
    if z < 0.0 {
        0.69 * (1.3 * z).exp()
    } else {
        0.69 + z * (0.8 + 0.39 * z)
    }
}
