//! Limits on client connections and their input.

use std::time::Duration;

use super::inputs::LimitInputs;

/// Maximum size of a request body or response body.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;
/// Memory of a connection that is served: its buffers, its task and the head of its request.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Minimum number of connections, however small the memory limit is.
const MIN_CONNECTIONS_BY_MEMORY: usize = 8;
/// Minimum number of connections, however small the limit on file descriptors is.
const MIN_CONNECTIONS: usize = 4;
/// Minimum number of connections that wait to be accepted. They use no descriptor of the process.
const MIN_WAITING_CONNECTIONS: usize = 1_024;
/// Maximum length of a request id or an idempotency key, far above any in use.
const MAX_TOKEN_CHARS: usize = 256;
/// Maximum length of a path and query, far above any in use.
const MAX_TARGET_CHARS: usize = 8 * 1024;
/// The idle time after which connections are to be closed is 2 s; the rest is a margin.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_050);
/// Time for a request to arrive completely, from its first byte.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Together with [`IDLE_TIMEOUT`], ensures that a client that sends only part of its first request
/// is closed within 3 s of connecting.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Far longer than any deadline, and short enough that adding it to an instant cannot overflow.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);
/// Input passed to the HTTP parser at a time. It is small so that a flood is detected early.
const READ_CHUNK_BYTES: usize = 1024;
/// Additional input passed at a time while an announced body is read.
const BODY_CHUNK_BYTES: usize = 7 * 1024;
/// Pipelined input behind an open request that shows that the client does not wait for responses.
const MAX_PIPELINED_BYTES: usize = 1024;
/// Maximum size of a request's head, larger than that of any request.
pub(super) const MAX_REQUEST_HEAD_BYTES: usize = 32 * 1024;
/// How long input is read and discarded after the last response, so that the client can read that
/// response.
const LINGERING_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a client has to read its last response, before a new client may get its descriptor.
const MIN_LINGERING_TIME: Duration = Duration::from_millis(100);
/// Time that a client has to complete its request, before a new client may get its permit.
const MIN_INCOMPLETE_TIME: Duration = Duration::from_millis(250);
/// Maximum input that is discarded after the last response.
const MAX_LINGERING_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Limits on client connections and their input.
#[derive(Clone, Debug)]
pub(crate) struct ClientLimits {
    /// Maximum number of connections that are served; requests on further ones are rejected as over
    /// capacity.
    pub(crate) max_permitted_connections: usize,
    /// Maximum number of connections that are accepted, including those that are only rejected.
    pub(crate) max_accepted_connections: usize,
    /// Maximum number of connections that wait to be accepted.
    pub(crate) max_waiting_connections: usize,
    /// Maximum length of a request id or an idempotency key.
    pub(crate) max_token_chars: usize,
    /// Maximum length of a request's path and query.
    pub(crate) max_target_chars: usize,
    /// How long a connection without an open request is kept.
    pub(crate) idle_timeout: Duration,
    /// Maximum time between the first and the last byte of a request.
    pub(crate) request_read_timeout: Duration,
    /// The same for the first request on a connection. It is shorter, so that a client that does
    /// not complete a request is closed within 3 s of connecting.
    pub(crate) first_request_timeout: Duration,
    /// Maximum client timeout; a longer one in a request is reduced to this.
    pub(crate) max_timeout: Duration,
    /// How long before the client's timeout a response is sent at the latest.
    pub(crate) response_margin: Duration,
    /// Bytes passed to the HTTP parser at a time.
    pub(crate) read_chunk_bytes: usize,
    /// Additional bytes passed at a time while an announced body is read.
    pub(crate) body_chunk_bytes: usize,
    /// Pipelined bytes that are read behind an open request. A client that sends this many does
    /// not wait for its responses.
    pub(crate) max_pipelined_bytes: usize,
    /// Maximum size of a request's head.
    pub(crate) max_request_head_bytes: usize,
    /// Larger than any request, head and body. A client that sends this many bytes without a pause
    /// does not wait for its responses either.
    pub(crate) max_burst_bytes: usize,
    /// How long input is read and discarded after the last response.
    pub(crate) lingering_close_timeout: Duration,
    /// How long input is discarded at least, so that the client can read that response.
    pub(crate) min_lingering_time: Duration,
    /// How long after its first byte a request may be incomplete, while a new client needs its
    /// permit.
    pub(crate) min_incomplete_time: Duration,
    /// Maximum number of bytes that are discarded after the last response.
    pub(crate) max_lingering_bytes: usize,
}

impl ClientLimits {
    /// The number of served connections is the smaller of two limits: three eighths of the file
    /// descriptors, and as many as fit into their share of the memory. Those that are only rejected
    /// get an eighth of the descriptors, and what the served ones leave of theirs: they use next to
    /// no memory.
    pub(super) fn derive(inputs: &LimitInputs, connection_memory_bytes: usize) -> Self {
        let max_by_memory =
            (connection_memory_bytes / CONNECTION_BYTES).max(MIN_CONNECTIONS_BY_MEMORY);
        let max_permitted_connections = (inputs.sockets * 3 / 8)
            .min(max_by_memory)
            .max(MIN_CONNECTIONS);
        Self {
            max_permitted_connections,
            max_accepted_connections: max_permitted_connections.max(inputs.sockets * 3 / 8)
                + inputs.sockets / 8,
            max_waiting_connections: inputs.sockets.max(MIN_WAITING_CONNECTIONS),
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
            max_request_head_bytes: MAX_REQUEST_HEAD_BYTES,
            max_burst_bytes: MAX_BODY_BYTES + MAX_REQUEST_HEAD_BYTES,
            lingering_close_timeout: LINGERING_CLOSE_TIMEOUT,
            min_lingering_time: MIN_LINGERING_TIME,
            min_incomplete_time: MIN_INCOMPLETE_TIME,
            max_lingering_bytes: MAX_LINGERING_BYTES,
        }
    }
}
