//! Every size, count and time that the network code keeps to, filled once at start.

use std::time::Duration;

use arrowstand_balancer::Micros;
use arrowstand_control::list_freshness::StalenessBounds;

/// Every bound of the network code. Filled by [`Limits::derive`] from the configuration and handed down from there.
#[derive(Clone, Debug)]
pub struct Limits {
    pub client: ClientLimits,
    pub upstream: UpstreamLimits,
    pub discovery: DiscoveryLimits,
    pub shutdown: ShutdownLimits,
    /// Bytes of a request's or a response's body.
    pub max_body_bytes: usize,
    /// Actions of one request that may wait to be executed.
    pub max_queued_actions: usize,
    /// Pause advised to a client where the balancer names none.
    pub default_retry_after: Duration,
}

/// Bounds on client connections and on what they send.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Connections that are served; further ones get an overload rejection.
    pub max_connections: usize,
    /// Connections that are accepted at all: those above the first bound only to be rejected.
    pub max_accepted_connections: usize,
    /// Characters of a request id or an idempotency key.
    pub max_token_chars: usize,
    /// Characters of a request's path and query.
    pub max_target_chars: usize,
    /// A connection without an open request is kept for this long.
    pub idle_timeout: Duration,
    /// From a request's first byte to its last a client may take this long.
    pub request_read_timeout: Duration,
    /// The same for a client's first request: with the idle time, it is closed within 3 s of connecting.
    pub first_request_timeout: Duration,
    /// The longest time left that is believed.
    pub max_timeout: Duration,
    /// A response is sent this long before its client gives up, whatever happens.
    pub response_margin: Duration,
    /// Bytes that are given to the protocol at a time.
    pub read_chunk_bytes: usize,
    /// So many bytes more are given to it of a body that is announced.
    pub body_chunk_bytes: usize,
    /// Bytes that come behind an open request and are still read: enough to tell that the client does not wait.
    pub max_pipelined_bytes: usize,
    /// More bytes than any request has, head and body: a client that sends so many at once does not wait either.
    pub max_burst_bytes: usize,
    /// What a client sends after its last response is read and thrown away for this long,
    pub lingering_close_timeout: Duration,
    /// and up to so many bytes.
    pub max_lingering_bytes: usize,
}

/// Bounds on connections to servers and on what they send.
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    /// Connections to servers, busy and idle.
    pub max_connections: usize,
    /// Bytes of a response's head.
    pub max_response_head_bytes: usize,
    /// Interim (1xx) responses ahead of the final one.
    pub max_interim_responses: usize,
    /// Bytes of a response whose length is not announced, its framing included.
    pub max_unsized_response_bytes: usize,
    /// A connection must be up within this.
    pub connect_timeout: Duration,
    /// An idle connection is used again within this, counted from the end of its reuse delay.
    pub idle_reuse_timeout: Duration,
    /// After a response a connection is left alone for this long: a second response may come some milliseconds late.
    pub reuse_delay: Duration,
    /// A health check must be answered within this.
    pub health_check_timeout: Duration,
    /// Nothing new starts to a server this long after its drain was notified.
    pub max_drain_age: Duration,
    /// A server that has been gone for this long is forgotten: longer than any attempt to it runs.
    pub server_retention: Duration,
    /// A retry that carries an idempotency key begins this long before its deduplication window ends, so that it is
    /// there when it does.
    pub deduplication_margin: Duration,
}

/// Bounds on calls to discovery and on its endpoint list.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// Bytes of one line.
    pub max_line_bytes: usize,
    /// Nesting of JSON that is read; guards the stack.
    pub max_json_depth: usize,
    /// The head of the response must come within this. Guards against a drain that is learnt too late to
    /// be kept: from the last event of a watch that dies to the end of the call that replaces it, no more passes
    /// than the time after which news counts as known and the grace of a drain.
    pub poll_timeout: Duration,
    /// A watch that is silent for this long is lost.
    pub watch_silence_timeout: Duration,
    /// A list that is late is asked for again after about this long, until it is there.
    pub poll_retry_delay: Duration,
    /// When what the list does not show counts as known; half of the grace is left for what is on its way.
    pub staleness: StalenessBounds,
}

/// What follows a SIGTERM, each counted from the signal.
#[derive(Clone, Debug)]
pub struct ShutdownLimits {
    /// Connections are accepted for this long: new ones come for 0.4 s (the protocol page).
    pub accept_for: Duration,
    /// What is still open is answered at once after this long.
    pub answer_after: Duration,
    /// The longest time until the program ends.
    pub exit_after: Duration,
}

/// Whatever discovery has to tell counts as told after this long, whether it came or not (the protocol page).
const NEWS_KNOWN_AFTER: Duration = Duration::from_secs(6);
/// After a new configuration it counts this much later.
const RELOCATION_KNOWN_AFTER: Duration = Duration::from_secs(4);
/// One and a half of the heartbeat's 2 s: a watch that says less is lost.
const WATCH_SILENCE: Duration = Duration::from_secs(3);
/// The module's longest first pause before it asks again (one and a half of its `REASK`), and what a busy
/// machine adds to it.
const MAX_POLL_PAUSE: Duration = Duration::from_millis(500);

/// Second answers came 1.3 to 5.9 ms after the first where they were measured (docs/crossings.md); the page says some
/// milliseconds.
const REUSE_DELAY: Duration = Duration::from_millis(8);
/// SIGKILL comes no earlier than the longest deadline, taken as this where it is longer, and 0.7 s after SIGTERM (the
/// protocol page).
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);

/// The parts of the configuration that limits follow from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Basis {
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that it may use, in MiB.
    pub memory_mb: usize,
    /// `permissions.connect-timeout-ms`.
    pub connect: Duration,
    /// `permissions.idle-close-ms`.
    pub idle_close: Duration,
    /// `safety.drain-grace-ms`.
    pub drain_grace: Duration,
    /// `permissions.max-retry-after-ms`.
    pub retry_after: Duration,
    /// `permissions.max-attempts`.
    pub attempts: usize,
    /// The longest deadline of a class.
    pub deadline: Duration,
    /// `step-ms`.
    pub step: Duration,
    /// `safety.ask-every-ms`.
    pub ask_every: Duration,
    /// `membership-mode` is `pushed`: what discovery has counts as told, whether or not a watch is open.
    pub pushed: bool,
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

impl Limits {
    /// Guards against the operator's limits: well under a full table of descriptors, and a memory limit
    /// that holds a whole body for each terminal and each connection to a job server.
    pub fn derive(basis: &Basis) -> Self {
        let body = 64 * 1024;
        let by_memory = (basis.memory_mb * 1024 * 1024 / 2 / (3 * body)).max(8);
        let longest = basis.deadline.min(MAX_SHUTDOWN_DEADLINE);
        let max_connections = (basis.sockets * 3 / 8).min(by_memory).max(4);
        Self {
            client: ClientLimits {
                max_connections,
                max_accepted_connections: max_connections + basis.sockets / 8,
                max_token_chars: 256,
                max_target_chars: 8 * 1024,
                idle_timeout: Duration::from_millis(2_050),
                request_read_timeout: Duration::from_secs(2),
                first_request_timeout: Duration::from_millis(800),
                max_timeout: Duration::from_secs(600),
                response_margin: basis.step,
                read_chunk_bytes: 1024,
                body_chunk_bytes: 7 * 1024,
                max_pipelined_bytes: 1024,
                max_burst_bytes: body + 32 * 1024,
                lingering_close_timeout: Duration::from_secs(1),
                max_lingering_bytes: 4 * body,
            },
            upstream: UpstreamLimits {
                max_connections: (basis.sockets * 7 / 16).max(8),
                max_response_head_bytes: 16 * 1024,
                max_interim_responses: 8,
                max_unsized_response_bytes: 2 * body,
                connect_timeout: basis.connect,
                idle_reuse_timeout: (basis.idle_close * 3 / 4)
                    .saturating_sub(REUSE_DELAY)
                    .max(Duration::from_millis(1)),
                reuse_delay: REUSE_DELAY,
                health_check_timeout: basis.connect * 5 / 4,
                max_drain_age: basis.drain_grace / 2,
                server_retention: basis.deadline.max(basis.drain_grace) + Duration::from_secs(5),
                deduplication_margin: Duration::from_millis(50),
            },
            discovery: DiscoveryLimits {
                max_line_bytes: 512 * 1024,
                max_json_depth: 32,
                poll_timeout: (NEWS_KNOWN_AFTER + basis.drain_grace)
                    .saturating_sub(WATCH_SILENCE + MAX_POLL_PAUSE)
                    .max(WATCH_SILENCE),
                watch_silence_timeout: WATCH_SILENCE,
                poll_retry_delay: (basis.drain_grace / 4)
                    .clamp(Duration::from_millis(50), Duration::from_millis(300)),
                staleness: StalenessBounds {
                    pushed: basis.pushed,
                    max_poll_interval: micros(basis.ask_every),
                    watch_silence: micros(NEWS_KNOWN_AFTER),
                    relocation_delay: micros(RELOCATION_KNOWN_AFTER),
                    drain_slack: micros(basis.drain_grace / 2),
                },
            },
            shutdown: ShutdownLimits {
                accept_for: Duration::from_millis(500),
                answer_after: longest + Duration::from_millis(550),
                exit_after: longest + Duration::from_millis(650),
            },
            max_body_bytes: body,
            max_queued_actions: 2 * basis.attempts + 4,
            default_retry_after: basis.retry_after,
        }
    }
}

#[cfg(test)]
mod tests;
