//! Errors that end a poll or a watch.

use arrowstand_platform::ReadError;
use std::io;
use std::time::Duration;

use actix_http::error::ParseError;
use arrowstand_control::list_freshness::PollFailure;
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::StatusCode;
use tokio::time::Instant;

use super::object_decoder::ObjectTooLarge;

/// Longest time in which a discovery that is down, or a proxy before it, fails a call. One that
/// takes longer has made the call wait for its turn.
const MAX_OUTAGE_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Why a poll or a watch ended. The message is the `error` field of the log line.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The request could not be sent or its response could not be read, for example because nothing
    /// listens at the address.
    #[error("poll failed: {0}")]
    PollFailed(#[source] SendRequestError),
    /// Discovery responded with a status other than 2xx.
    #[error("poll rejected: expected a 2xx status, got {0}")]
    PollRejected(StatusCode),
    /// The connection failed while the watch was open.
    #[error("watch connection failed: {0}")]
    WatchFailed(#[source] PayloadError),
    /// Discovery ended the response.
    #[error("discovery closed the watch")]
    WatchEnded,
    /// Neither a list nor a heartbeat arrived within the watch's silence timeout.
    #[error("watch timed out: no endpoint list or heartbeat arrived")]
    WatchSilent {
        /// When the last bytes arrived, or the response head if none did.
        last_received_at: Instant,
    },
    /// An object exceeds a limit.
    #[error(transparent)]
    ObjectTooLarge(#[from] ObjectTooLarge),
    /// An object is not a valid endpoint list.
    #[error("invalid endpoint list, requesting the full list: {0}")]
    InvalidObject(#[source] ReadError),
}

impl WatchError {
    /// What the failure of a poll after this time shows about discovery.
    pub(super) fn poll_failure(&self, waited: Duration) -> PollFailure {
        let is_connection_lost = match self {
            Self::PollFailed(SendRequestError::Connect(ConnectError::Timeout)) => {
                return PollFailure::Unreachable;
            }
            Self::PollFailed(SendRequestError::Connect(ConnectError::Io(error))) => {
                return connect_failure(error.kind());
            }
            Self::PollFailed(
                SendRequestError::Connect(ConnectError::Disconnected)
                | SendRequestError::Send(_)
                | SendRequestError::Response(ParseError::Io(_) | ParseError::Incomplete),
            ) => true,
            Self::PollRejected(status) => *status == StatusCode::SERVICE_UNAVAILABLE,
            _ => false,
        };
        if is_connection_lost && waited <= MAX_OUTAGE_RESPONSE_TIME {
            PollFailure::Unreachable
        } else {
            PollFailure::Unanswered
        }
    }
}

/// What it shows about discovery that no connection to it could be opened.
fn connect_failure(kind: io::ErrorKind) -> PollFailure {
    match kind {
        io::ErrorKind::ConnectionRefused => PollFailure::Refused,
        io::ErrorKind::ConnectionReset
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable
        | io::ErrorKind::TimedOut => PollFailure::Unreachable,
        _ => PollFailure::Local,
    }
}

#[cfg(test)]
mod tests;
