//! Every size, count and time that the network code keeps to, derived once at the start of the
//! program.
//!
//! Owns the numbers and the reasons for them; the settings that they follow from come as
//! [`LimitInputs`].

mod client;
mod discovery;
mod inputs;
mod shutdown;
mod upstream;

use std::time::Duration;

use client::MAX_BODY_BYTES;

pub(crate) use client::ClientLimits;
pub(crate) use discovery::DiscoveryLimits;
pub(crate) use inputs::LimitInputs;
pub(crate) use shutdown::ShutdownLimits;
pub(crate) use upstream::UpstreamLimits;

/// Actions that an attempt may cause: it is sent, and it ends.
const ACTIONS_PER_ATTEMPT: usize = 2;
/// Actions of a request beside those of its attempts: the final one, and some to spare.
const ACTIONS_PER_REQUEST: usize = 4;

/// Every bound of the network code. Filled by [`Limits::derive`] from the configuration and handed
/// down from there.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// Bounds on clients.
    pub(crate) client: ClientLimits,
    /// Bounds on servers.
    pub(crate) upstream: UpstreamLimits,
    /// Bounds on discovery.
    pub(crate) discovery: DiscoveryLimits,
    /// Bounds on the end of the program.
    pub(crate) shutdown: ShutdownLimits,
    /// Bytes of a request's or a response's body.
    pub(crate) max_body_bytes: usize,
    /// Actions of one request that may wait to be executed.
    pub(crate) max_queued_actions: usize,
    /// Retry-After of a rejection for which the balancer names none.
    pub(crate) default_retry_after: Duration,
}

impl Limits {
    /// Derives all limits.
    pub(crate) fn derive(inputs: &LimitInputs) -> Self {
        Self {
            client: ClientLimits::derive(inputs),
            upstream: UpstreamLimits::derive(inputs),
            discovery: DiscoveryLimits::derive(inputs),
            shutdown: ShutdownLimits::derive(inputs),
            max_body_bytes: MAX_BODY_BYTES,
            max_queued_actions: ACTIONS_PER_ATTEMPT * inputs.max_attempts + ACTIONS_PER_REQUEST,
            default_retry_after: inputs.max_retry_after,
        }
    }
}

#[cfg(test)]
mod tests;
