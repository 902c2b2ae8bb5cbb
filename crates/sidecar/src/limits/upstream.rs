//! Bounds on connections to servers and on what servers send.

use std::time::Duration;

use super::client::MAX_BODY_BYTES;
use super::inputs::LimitInputs;

/// Even the smallest table of file descriptors allows this many connections.
const MIN_CONNECTIONS: usize = 8;
/// More than the head of any response, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 16 * 1024;
/// More interim responses than any server sends ahead of the final one.
const MAX_INTERIM_RESPONSES: usize = 8;
/// A body whose length is not announced, with its framing, in bytes: as much again for the framing.
const MAX_UNSIZED_RESPONSE_BYTES: usize = 2 * MAX_BODY_BYTES;
/// Second responses came 1.3 to 5.9 ms after the first where they were measured
/// (docs/crossings.md); the page says some milliseconds.
const REUSE_DELAY: Duration = Duration::from_millis(8);
/// The shortest time for which an idle connection is kept. The sweep of the pool pauses for part of
/// it, so it must not be zero.
const MIN_IDLE_REUSE_TIMEOUT: Duration = Duration::from_millis(1);
/// A server is remembered for this much longer than any attempt to it can run.
const SERVER_RETENTION_MARGIN: Duration = Duration::from_secs(5);
/// Time for a retry to reach its server.
const DEDUPLICATION_MARGIN: Duration = Duration::from_millis(50);

/// Bounds on connections to servers and on what they send.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamLimits {
    /// Connections to servers, busy and idle.
    pub(crate) max_connections: usize,
    /// Bytes of a response's head.
    pub(crate) max_response_head_bytes: usize,
    /// Interim (1xx) responses ahead of the final one.
    pub(crate) max_interim_responses: usize,
    /// Bytes of a response whose length is not announced, its framing included.
    pub(crate) max_unsized_response_bytes: usize,
    /// A connection must be up within this.
    pub(crate) connect_timeout: Duration,
    /// An idle connection is used again within this, counted from the end of its reuse delay.
    pub(crate) idle_reuse_timeout: Duration,
    /// After a response a connection is left alone for this long: a second response may come some
    /// milliseconds late.
    pub(crate) reuse_delay: Duration,
    /// A health check must be answered within this.
    pub(crate) health_check_timeout: Duration,
    /// Nothing new starts to a server this long after its drain was notified.
    pub(crate) max_drain_age: Duration,
    /// A server that has been gone for this long is forgotten: longer than any attempt to it runs.
    pub(crate) server_retention: Duration,
    /// A retry that carries an idempotency key begins this long before its deduplication window
    /// ends, so that it is there when it does.
    pub(crate) deduplication_margin: Duration,
}

impl UpstreamLimits {
    pub(super) fn derive(inputs: &LimitInputs) -> Self {
        // A quarter of the server's idle timeout is for a request that is on its way when it ends.
        let idle_reuse_timeout = (inputs.idle_timeout * 3 / 4)
            .saturating_sub(REUSE_DELAY)
            .max(MIN_IDLE_REUSE_TIMEOUT);
        let longest_attempt = inputs.longest_deadline.max(inputs.drain_grace);
        Self {
            max_connections: (inputs.sockets * 7 / 16).max(MIN_CONNECTIONS),
            max_response_head_bytes: MAX_RESPONSE_HEAD_BYTES,
            max_interim_responses: MAX_INTERIM_RESPONSES,
            max_unsized_response_bytes: MAX_UNSIZED_RESPONSE_BYTES,
            connect_timeout: inputs.connect_timeout,
            idle_reuse_timeout,
            reuse_delay: REUSE_DELAY,
            health_check_timeout: inputs.connect_timeout * 5 / 4,
            max_drain_age: inputs.drain_grace / 2,
            server_retention: longest_attempt + SERVER_RETENTION_MARGIN,
            deduplication_margin: DEDUPLICATION_MARGIN,
        }
    }
}
