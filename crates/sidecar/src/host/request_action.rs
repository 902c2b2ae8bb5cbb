//! What the balancer wants done for one request.

use arrowstand_balancer::{Micros, ServerId};

/// What the balancer wants done next for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestAction {
    /// Start an attempt.
    Send {
        /// The server that gets it.
        server: ServerId,
        /// When to give it up, in microseconds from now; `None` where only the client's timeout
        /// binds.
        timeout: Option<Micros>,
    },
    /// Abort an attempt.
    Cancel {
        /// Its number, from 0 in the order of the sends.
        attempt: u32,
    },
    /// Respond that nothing was executed.
    Reject {
        /// The pause to advise, in microseconds; `None` where the configuration's counts.
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
