//! Limits on connections to servers and on their responses.

use std::time::Duration;

use super::client::MAX_BODY_BYTES;
use super::inputs::LimitInputs;

/// Minimum number of connections, however small the limit on file descriptors is.
const MIN_CONNECTIONS: usize = 8;
/// Larger than the head of any response.
const MAX_RESPONSE_HEAD_BYTES: usize = 16 * 1024;
/// More interim responses than any server sends before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;
/// Maximum size of a body of unannounced length with its framing; half of it is for the framing.
const MAX_UNSIZED_RESPONSE_BYTES: usize = 2 * MAX_BODY_BYTES;
/// Erroneous second responses arrived 1.3 to 5.9 ms after the first in measurements
/// (docs/crossings.md); the platform states that they may be some milliseconds late.
const REUSE_DELAY: Duration = Duration::from_millis(8);
/// Minimum idle reuse timeout. The pool sweep sleeps for part of this timeout, so it must not be
/// zero.
const MIN_IDLE_REUSE_TIMEOUT: Duration = Duration::from_millis(1);
/// How much longer a removed server is kept than any attempt to it can run.
const SERVER_RETENTION_MARGIN: Duration = Duration::from_secs(5);
/// Time that a retry needs to reach its server.
const DEDUPLICATION_MARGIN: Duration = Duration::from_millis(50);

/// Limits on connections to servers and on their responses.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamLimits {
    /// Maximum number of connections to servers, busy and idle.
    pub(crate) max_connections: usize,
    /// Maximum size of a response head.
    pub(crate) max_response_head_bytes: usize,
    /// Maximum number of interim (1xx) responses before the final one.
    pub(crate) max_interim_responses: usize,
    /// Maximum size of a response body of unannounced length, including its framing.
    pub(crate) max_unsized_response_bytes: usize,
    /// Timeout for opening a connection.
    pub(crate) connect_timeout: Duration,
    /// How long an idle connection may be reused, counted from the end of its reuse delay.
    pub(crate) idle_reuse_timeout: Duration,
    /// How long a connection is not reused after a response, because an erroneous second response
    /// may arrive some milliseconds late.
    pub(crate) reuse_delay: Duration,
    /// Timeout of a health check.
    pub(crate) health_check_timeout: Duration,
    /// How long a server may still get new attempts after it stopped being ready, because it is
    /// draining or removed.
    pub(crate) max_time_not_ready: Duration,
    /// How long a removed server is kept: longer than any attempt to it can run.
    pub(crate) server_retention: Duration,
    /// A retry with an idempotency key must start at least this long before its deduplication
    /// window ends, so that it reaches the server within the window.
    pub(crate) deduplication_margin: Duration,
}

impl UpstreamLimits {
    pub(super) fn derive(inputs: &LimitInputs) -> Self {
        // A quarter of the server's idle timeout is reserved for a request in transit when it ends.
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
            max_time_not_ready: inputs.drain_grace / 2,
            server_retention: longest_attempt + SERVER_RETENTION_MARGIN,
            deduplication_margin: DEDUPLICATION_MARGIN,
        }
    }
}
