//! Decides whether the results of health checks are trusted.
//!
//! Health checks can fail although the servers serve requests. If the last check of more than 30 %
//! of the servers failed, the health checks themselves are assumed to be faulty. A load check
//! then counts only if it shows an idle server, and only attempts are used to detect failures.
//! Servers that have really failed also fail attempts, so they are still detected.

#[cfg(test)]
mod tests;

/// Maximum fraction of servers with a failed last check at which health checks are still trusted.
/// The fraction is the number of these servers divided by the sum of that number and the subset
/// size.
const MAX_FAILED_FRACTION: f64 = 0.3;

/// Whether the results of health checks are trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthCheckTrust {
    /// Results reflect the state of the servers.
    Trusted,
    /// Too many checks fail; the results are ignored.
    Untrusted,
}

impl HealthCheckTrust {
    /// Assesses trust from the number of servers whose last health check failed and the subset
    /// size. `subset_size` is called only if `failed` is not zero.
    pub(crate) fn assess(failed: usize, subset_size: impl FnOnce() -> usize) -> Self {
        if failed == 0 {
            return Self::Trusted;
        }
        let failed = failed as f64;
        if failed > MAX_FAILED_FRACTION * (subset_size() as f64 + failed) {
            Self::Untrusted
        } else {
            Self::Trusted
        }
    }
}
