//! How many attempts fail over the whole fleet.

#[cfg(test)]
mod tests;

/// Weight of a new sample, a share: about the last 50 attempts count. Higher, and one failing
/// server raises what counts as usual; lower, and errors of the whole fleet look like those of its
/// servers. Chosen by experiment on the testbed.
const ERROR_RATE_SMOOTHING_FACTOR: f64 = 0.02;
/// Failures are never taken to be rarer than this, a share: without a bound, the first failure in a
/// fleet that never fails would eject its server. Inherited with the first version of the module;
/// its source was not recorded.
const MIN_ERROR_RATE: f64 = 0.01;

/// Share of attempts that fail, where a run of failures at one server counts once. Failures that
/// are spread over the servers are bad requests, or the network's.
#[derive(Default)]
pub(crate) struct FleetErrorRate {
    rate: f64,
}

impl FleetErrorRate {
    /// An attempt was served.
    pub(crate) fn on_served(&mut self) {
        self.rate -= ERROR_RATE_SMOOTHING_FACTOR * self.rate;
    }

    /// A server failed for the first time since it served.
    pub(crate) fn on_first_failure(&mut self) {
        self.rate += ERROR_RATE_SMOOTHING_FACTOR * (1.0 - self.rate);
    }

    /// Negative logarithm of the chance that a sound server fails so often in a row.
    pub(crate) fn failure_run_surprisal(&self, failures: u32) -> f64 {
        f64::from(failures) * -self.rate.max(MIN_ERROR_RATE).ln()
    }
}
