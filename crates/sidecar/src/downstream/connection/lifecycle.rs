//! Whether a client sends a request or waits for a response, and until when it may go on.

use tokio::time::Instant;

use crate::limits::ClientLimits;

/// What a client is doing.
#[derive(Clone, Copy)]
pub(super) enum Lifecycle {
    /// No byte of a request came since it connected, or since its last response was made.
    Idle {
        /// When it connected or its last response was made.
        since: Instant,
    },
    /// A part of a request came.
    Reading {
        /// When it connected or its last response was made.
        idle_since: Instant,
        /// When the request's first byte came.
        started_at: Instant,
    },
    /// Its request was read to the end; the response is not made.
    InFlight,
}

impl Lifecycle {
    /// A client that has just connected, or whose response was just made.
    pub(super) fn idle_now() -> Self {
        Self::Idle {
            since: Instant::now(),
        }
    }

    /// What it is doing after some bytes came.
    pub(super) fn after_input(self) -> Self {
        match self {
            Self::Idle { since } => Self::Reading {
                idle_since: since,
                started_at: Instant::now(),
            },
            Self::Reading { .. } | Self::InFlight => self,
        }
    }

    /// True while the response to a complete request is not made.
    pub(super) fn is_in_flight(self) -> bool {
        matches!(self, Self::InFlight)
    }

    /// True unless no byte came since the last response.
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
                // A client's first request has a bound of its own: it counts against the time since
                // the connect.
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
