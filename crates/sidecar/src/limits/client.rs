//! Bounds on client connections and on what clients send.

use std::time::Duration;

use super::inputs::LimitInputs;

/// Bytes of a request's or a response's body.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;
const BYTES_PER_MIB: usize = 1024 * 1024;
/// Bodies that are reckoned for each client: its own, and one for each of two connections to
/// servers.
const BODIES_PER_CONNECTION: usize = 3;
/// Even the smallest memory limit allows this many connections.
const MIN_CONNECTIONS_BY_MEMORY: usize = 8;
/// Even the smallest table of file descriptors allows this many connections.
const MIN_CONNECTIONS: usize = 4;
/// Characters of a request id or an idempotency key: far longer than any in use.
const MAX_TOKEN_CHARS: usize = 256;
/// Characters of a path and query: far longer than any in use.
const MAX_TARGET_CHARS: usize = 8 * 1024;
/// Idle connections are closed after 2 s, with a little to spare.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_050);
/// Time for a request to arrive, from its first byte.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// With [`IDLE_TIMEOUT`], a client that sends half a request is closed within 3 s of connecting.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Far longer than any deadline, and short enough to add to any instant without an overflow.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);
/// Input that the protocol gets at a time, in bytes: small, so that a flood is noticed early.
const READ_CHUNK_BYTES: usize = 1024;
/// Further input that it gets of an announced body, in bytes.
const BODY_CHUNK_BYTES: usize = 7 * 1024;
/// Input behind an open request, in bytes, that proves that the client does not wait for responses.
const MAX_PIPELINED_BYTES: usize = 1024;
/// More than the head of any request, in bytes.
const MAX_REQUEST_HEAD_BYTES: usize = 32 * 1024;
/// For this long input is discarded after the last response, so that the client can read it.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Input that is discarded then, in bytes.
const MAX_LINGERING_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Bounds on client connections and on what they send.
#[derive(Clone, Debug)]
pub(crate) struct ClientLimits {
    /// Connections that are served; further ones get an overload rejection.
    pub(crate) max_connections: usize,
    /// Connections that are accepted at all: those above the first bound only to be rejected.
    pub(crate) max_accepted_connections: usize,
    /// Characters of a request id or an idempotency key.
    pub(crate) max_token_chars: usize,
    /// Characters of a request's path and query.
    pub(crate) max_target_chars: usize,
    /// A connection without an open request is kept for this long.
    pub(crate) idle_timeout: Duration,
    /// From a request's first byte to its last a client may take this long.
    pub(crate) request_read_timeout: Duration,
    /// The same for a client's first request: with the idle time, it is closed within 3 s of
    /// connecting.
    pub(crate) first_request_timeout: Duration,
    /// The longest client timeout that is believed.
    pub(crate) max_timeout: Duration,
    /// A response is sent this long before its client's timeout, whatever happens.
    pub(crate) response_margin: Duration,
    /// Bytes that are given to the protocol at a time.
    pub(crate) read_chunk_bytes: usize,
    /// So many bytes more are given to it of a body that is announced.
    pub(crate) body_chunk_bytes: usize,
    /// Bytes that come behind an open request and are still read: enough to show that the client
    /// does not wait.
    pub(crate) max_pipelined_bytes: usize,
    /// More bytes than any request has, head and body: a client that sends so many at once does not
    /// wait either.
    pub(crate) max_burst_bytes: usize,
    /// What a client sends after its last response is read and discarded for this long,
    pub(crate) lingering_close_timeout: Duration,
    /// and up to so many bytes.
    pub(crate) max_lingering_bytes: usize,
}

impl ClientLimits {
    /// The smaller of two bounds counts: clients get three eighths of the file descriptors, and the
    /// bodies of all connections fit into half of the memory.
    pub(super) fn derive(inputs: &LimitInputs) -> Self {
        let body_memory_bytes = inputs.memory_mib * BYTES_PER_MIB / 2;
        let max_by_memory = (body_memory_bytes / (BODIES_PER_CONNECTION * MAX_BODY_BYTES))
            .max(MIN_CONNECTIONS_BY_MEMORY);
        let max_connections = (inputs.sockets * 3 / 8)
            .min(max_by_memory)
            .max(MIN_CONNECTIONS);
        Self {
            max_connections,
            max_accepted_connections: max_connections + inputs.sockets / 8,
            max_token_chars: MAX_TOKEN_CHARS,
            max_target_chars: MAX_TARGET_CHARS,
            idle_timeout: IDLE_TIMEOUT,
            request_read_timeout: REQUEST_READ_TIMEOUT,
            first_request_timeout: FIRST_REQUEST_TIMEOUT,
            max_timeout: MAX_TIMEOUT,
            response_margin: inputs.step,
            read_chunk_bytes: READ_CHUNK_BYTES,
            body_chunk_bytes: BODY_CHUNK_BYTES,
            max_pipelined_bytes: MAX_PIPELINED_BYTES,
            max_burst_bytes: MAX_BODY_BYTES + MAX_REQUEST_HEAD_BYTES,
            lingering_close_timeout: LINGERING_CLOSE_TIMEOUT,
            max_lingering_bytes: MAX_LINGERING_BYTES,
        }
    }
}
