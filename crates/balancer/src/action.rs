//! Actions: what the balancer asks its host to do.

use crate::endpoint::ServerId;
use crate::event::RequestId;
use crate::time::Micros;

/// Where actions are pushed.
pub(crate) type Actions = Vec<Action>;

/// Something the host is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Time-out; `None` until the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not done, trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should come back.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no promise about effects.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send [`Event::TimerFired`](crate::Event::TimerFired) later.
    SetTimer {
        /// Token to return.
        token: u64,
        /// How much later.
        after: Micros,
    },
    /// Probe a server.
    HealthCheck {
        /// Which.
        server: ServerId,
    },
    /// Message one peer, or all.
    SendGossip {
        /// Its number, or `None` for all.
        to: Option<u32>,
        /// What to send.
        message: Vec<u8>,
    },
    /// Ask for list changes from now on.
    PollEndpoints,
    /// A line for the log.
    Log {
        /// What happened.
        text: String,
        /// The server it is about.
        server: Option<ServerId>,
    },
}
