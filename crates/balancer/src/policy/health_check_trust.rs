//! Whether the results of health checks are believed.
//!
//! Health checks may fail while servers serve. Where more than three in ten of the servers in use
//! fail them, the checks themselves are taken to be at fault: only attempts are believed then, and
//! load reports are not used. Servers that are really gone fail attempts as well.

#[cfg(test)]
mod tests;

/// Largest share of the servers in use, with those that fail, whose failed health checks are
/// believed; with more, none is. Inherited with the first version of the module; its source was not
/// recorded.
const MAX_FAILED_SHARE: f64 = 0.3;

/// Whether the results of health checks are believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthCheckTrust {
    /// They tell of servers.
    Trusted,
    /// So many fail that they tell nothing.
    Untrusted,
}

impl HealthCheckTrust {
    /// Judges by the number of servers whose last health check failed, and by the size of the
    /// subset, which is only asked for where some failed.
    pub(crate) fn assess(failed: usize, subset_size: impl FnOnce() -> usize) -> Self {
        if failed == 0 {
            return Self::Trusted;
        }
        let failed = failed as f64;
        if failed > MAX_FAILED_SHARE * (subset_size() as f64 + failed) {
            Self::Untrusted
        } else {
            Self::Trusted
        }
    }
}
