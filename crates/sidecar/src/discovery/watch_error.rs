//! Errors that end a poll or a watch.

use arrowstand_platform::ReadError;
use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use tokio::time::Instant;

use super::object_decoder::ObjectTooLong;

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
    /// An object exceeds the size limit.
    #[error(transparent)]
    ObjectTooLong(#[from] ObjectTooLong),
    /// An object is not a valid endpoint list.
    #[error("invalid endpoint list, requesting the full list: {0}")]
    InvalidObject(#[source] ReadError),
}

#[cfg(test)]
mod tests;
