//! The parts of the configuration from which the limits are derived.

use std::time::Duration;

use arrowstand_balancer::Settings;
use arrowstand_platform::{MembershipMode, TransportSettings};

/// The parts of the configuration from which the limits are derived.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitInputs {
    /// Maximum number of file descriptors of the process.
    pub(crate) sockets: usize,
    /// Memory limit of the process in MiB.
    pub(crate) memory_mib: usize,
    /// `permissions.connect-timeout-ms`.
    pub(crate) connect_timeout: Duration,
    /// `permissions.idle-close-ms`.
    pub(crate) idle_timeout: Duration,
    /// `safety.drain-grace-ms`.
    pub(crate) drain_grace: Duration,
    /// `permissions.max-retry-after-ms`.
    pub(crate) max_retry_after: Duration,
    /// `permissions.max-attempts`.
    pub(crate) max_attempts: usize,
    /// Longest deadline of all request classes.
    pub(crate) longest_deadline: Duration,
    /// `step-ms`.
    pub(crate) step: Duration,
    /// `safety.ask-every-ms`.
    pub(crate) max_poll_interval: Duration,
    /// `membership-mode` is `pushed`: changes count as notified whether or not a watch is open.
    pub(crate) push_mode: bool,
}

impl LimitInputs {
    /// Collects the inputs from the limits of the process and the settings.
    pub(crate) fn new(
        sockets: usize,
        memory_mib: usize,
        transport: &TransportSettings,
        settings: &Settings,
    ) -> Self {
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        Self {
            sockets,
            memory_mib,
            connect_timeout: transport.connect_timeout,
            idle_timeout: transport.idle_timeout,
            drain_grace: transport.drain_grace,
            max_retry_after: Duration::from_micros(settings.retries.max_retry_after),
            max_attempts: settings.retries.max_attempts as usize,
            longest_deadline: Duration::from_micros(deadlines.max().unwrap_or(0)),
            step: Duration::from_micros(settings.min_call_interval),
            max_poll_interval: Duration::from_micros(settings.polling.max_interval),
            push_mode: transport.membership == MembershipMode::Pushed,
        }
    }
}
