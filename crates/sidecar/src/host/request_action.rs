//! The balancer's actions for a single request.

use arrowstand_balancer::{Micros, ServerId};

/// An action of the balancer for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestAction {
    /// Start an attempt.
    Send {
        /// The server to send it to.
        server: ServerId,
        /// The attempt's timeout in microseconds; `None` if only the client's timeout applies.
        timeout: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The attempt's number, from 0 in send order.
        attempt: u32,
    },
    /// Respond that the request was not executed.
    Reject {
        /// How long the client should wait before it retries, in microseconds; `None` for the
        /// configured default.
        retry_after: Option<Micros>,
    },
    /// Respond that the request may have been executed.
    Fail,
}

impl RequestAction {
    /// True for an action that ends the request.
    pub(crate) fn is_final(self) -> bool {
        matches!(self, Self::Reject { .. } | Self::Fail)
    }
}
