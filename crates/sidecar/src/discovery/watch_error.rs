//! Why a poll or a watch ended.

use arrowstand_platform::ReadError;
use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use tokio::time::Instant;

use super::object_decoder::ObjectTooLong;

/// Why a poll or a watch ended. The message is the `error` field of the log line.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The poll could not be sent or its response not be read; nobody may be listening there.
    #[error("the call failed: {0}")]
    PollFailed(#[source] SendRequestError),
    /// Discovery responded with another status than success.
    #[error("the call ended with {0}")]
    PollRejected(StatusCode),
    /// No head of a response came within the poll's timeout.
    #[error("the call was not answered")]
    PollTimedOut,
    /// The connection failed while the watch was open.
    #[error("the watch broke: {0}")]
    WatchFailed(#[source] PayloadError),
    /// Discovery ended the response.
    #[error("the watch ended")]
    WatchEnded,
    /// Neither a list nor a heartbeat came within the watch's silence timeout.
    #[error("the watch fell silent")]
    WatchSilent {
        /// When the last bytes came, or the head of the response if none did.
        last_received_at: Instant,
    },
    /// An object is longer than the bound on a line.
    #[error(transparent)]
    ObjectTooLong(#[from] ObjectTooLong),
    /// An object is no endpoint list.
    #[error("a line cannot be read, the whole list is asked for: {0}")]
    InvalidObject(#[source] ReadError),
}

#[cfg(test)]
mod tests;
