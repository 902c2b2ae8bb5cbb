//! The request lifecycle of a client connection, and the deadline of each of its states.

use tokio::time::Instant;

use crate::limits::ClientLimits;

/// The state of the current request on a connection.
#[derive(Clone, Copy)]
pub(super) enum Lifecycle {
    /// No byte was received since the client connected or its last response was ready.
    Idle {
        /// When the client connected or its last response was ready.
        since: Instant,
    },
    /// A part of a request was received.
    Reading {
        /// When the client connected or its last response was ready.
        idle_since: Instant,
        /// When the request's first byte was received.
        started_at: Instant,
    },
    /// The request was read completely; its response is not ready.
    InFlight,
}

impl Lifecycle {
    /// The state just after the connect, or as soon as a response is ready.
    pub(super) fn idle_now() -> Self {
        Self::Idle {
            since: Instant::now(),
        }
    }

    /// The state after bytes were received.
    pub(super) fn after_input(self) -> Self {
        match self {
            Self::Idle { since } => Self::Reading {
                idle_since: since,
                started_at: Instant::now(),
            },
            Self::Reading { .. } | Self::InFlight => self,
        }
    }

    /// When the first byte of a request was received that is not complete; `None` if there is none.
    pub(super) fn reading_since(self) -> Option<Instant> {
        match self {
            Self::Reading { started_at, .. } => Some(started_at),
            Self::Idle { .. } | Self::InFlight => None,
        }
    }

    /// True while the response to a complete request is not ready.
    pub(super) fn is_in_flight(self) -> bool {
        matches!(self, Self::InFlight)
    }

    /// True if a byte was received since the connect or since the last response was ready.
    pub(super) fn has_input(self) -> bool {
        !matches!(self, Self::Idle { .. })
    }

    /// When the connection times out; never while a request is in flight.
    pub(super) fn deadline(self, has_responded: bool, limits: &ClientLimits) -> Option<Instant> {
        match self {
            Self::Idle { since } => Some(since + limits.idle_timeout),
            Self::Reading {
                idle_since,
                started_at,
            } => {
                // The first request has its own read timeout, since a client that sends half a
                // request must be disconnected within a fixed time of its connect.
                let read_timeout = if has_responded {
                    limits.request_read_timeout
                } else {
                    limits.first_request_timeout
                };
                Some((idle_since + limits.idle_timeout).max(started_at + read_timeout))
            }
            Self::InFlight => None,
        }
    }
}
