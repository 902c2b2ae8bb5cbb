//! Failure rate of attempts over the whole fleet.

#[cfg(test)]
mod tests;

/// Smoothing factor of the error rate: about the last 50 attempts count. Higher, and one failing
/// server raises the fleet's baseline; lower, and errors of the whole fleet are attributed to
/// single servers.
const ERROR_RATE_SMOOTHING_FACTOR: f64 = 0.02;
/// Lower bound of the error rate: without it, the first failure in a fleet that has never failed
/// would eject its server.
const MIN_ERROR_RATE: f64 = 0.01;

/// Fraction of attempts that fail, where consecutive failures at one server count once. Failures
/// that are spread over the servers come from bad requests or from the network.
#[derive(Default)]
pub(crate) struct FleetErrorRate {
    rate: f64,
}

impl FleetErrorRate {
    /// Records a served attempt.
    pub(crate) fn on_served(&mut self) {
        self.rate -= ERROR_RATE_SMOOTHING_FACTOR * self.rate;
    }

    /// Records the first failure of a server since it last served an attempt.
    pub(crate) fn on_first_failure(&mut self) {
        self.rate += ERROR_RATE_SMOOTHING_FACTOR * (1.0 - self.rate);
    }

    /// Returns the surprisal of this many consecutive failures at a healthy server, in nats: the
    /// negative natural logarithm of their probability.
    pub(crate) fn consecutive_failure_surprisal(&self, failures: u32) -> f64 {
        f64::from(failures) * -self.rate.max(MIN_ERROR_RATE).ln()
    }
}
