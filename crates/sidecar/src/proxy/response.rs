//! The final response to a request, independent of the client's protocol.

use std::time::Duration;

use crate::message::Payload;

/// The final response to a request. Each request gets exactly one.
pub(crate) enum ProxyResponse {
    /// A server's complete response, with its body unchanged.
    Served(Payload),
    /// Tells the client that the request was not executed.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// Tells the client that the request may have been executed.
    Failed {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// Another request with the same id is in flight; this one was not executed.
    DuplicateId,
}
