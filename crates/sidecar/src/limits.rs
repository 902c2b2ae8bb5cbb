//! Limits of the network code: sizes, counts and durations, derived once at startup.
//!
//! This module defines the values and documents the reasons for them. [`LimitInputs`] holds the
//! settings from which they are derived.

mod client;
mod discovery;
mod inputs;
mod memory;
mod shutdown;
mod upstream;

use std::time::Duration;

use client::MAX_BODY_BYTES;

pub(crate) use client::ClientLimits;
pub(crate) use discovery::{DiscoveryLimits, ObjectLimits};
pub(crate) use inputs::LimitInputs;
pub(crate) use memory::MemoryLimits;
pub(crate) use shutdown::ShutdownLimits;
pub(crate) use upstream::UpstreamLimits;

/// Maximum number of actions per attempt: one that sends it and one when it ends.
const ACTIONS_PER_ATTEMPT: usize = 2;
/// Actions of a request in addition to those of its attempts: the final one and three in reserve.
const ACTIONS_PER_REQUEST: usize = 4;

/// All limits of the network code. [`Limits::derive`] computes them from the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// Limits on client connections.
    pub(crate) client: ClientLimits,
    /// Limits on connections to servers.
    pub(crate) upstream: UpstreamLimits,
    /// Limits on discovery.
    pub(crate) discovery: DiscoveryLimits,
    /// Limits on memory, by purpose.
    pub(crate) memory: MemoryLimits,
    /// Time limits of a shutdown.
    pub(crate) shutdown: ShutdownLimits,
    /// Maximum size of a request body or response body.
    pub(crate) max_body_bytes: usize,
    /// Maximum number of queued actions per request.
    pub(crate) max_queued_actions: usize,
    /// How long the id of a request that must not run again is kept after its client left.
    pub(crate) request_id_retention: Duration,
    /// Retry-After of a rejection for which the balancer gives none.
    pub(crate) default_retry_after: Duration,
}

impl Limits {
    /// Computes all limits.
    pub(crate) fn derive(inputs: &LimitInputs) -> Self {
        let memory = MemoryLimits::derive(inputs);
        let upstream = UpstreamLimits::derive(inputs);
        Self {
            client: ClientLimits::derive(inputs, memory.shares.connections),
            request_id_retention: upstream.server_retention,
            upstream,
            discovery: DiscoveryLimits::derive(inputs),
            memory,
            shutdown: ShutdownLimits::derive(inputs),
            max_body_bytes: MAX_BODY_BYTES,
            max_queued_actions: ACTIONS_PER_ATTEMPT * inputs.max_attempts + ACTIONS_PER_REQUEST,
            default_retry_after: inputs.max_retry_after,
        }
    }
}

#[cfg(test)]
mod tests;
