//! The final response to a request, free of the client's protocol.

use std::time::Duration;

use crate::message::Payload;

/// The one final response to a request.
pub(crate) enum ProxyResponse {
    /// A server's body, complete and unchanged.
    Served(Payload),
    /// Nothing was executed.
    Rejected {
        /// The pause advised before the client tries again.
        retry_after: Duration,
    },
    /// The request may have been executed.
    Failed {
        /// The pause advised before the client tries again.
        retry_after: Duration,
    },
    /// Another request of that id is in flight; nothing was done.
    DuplicateId,
}
