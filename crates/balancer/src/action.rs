//! Actions: what the balancer asks its host to do.

use crate::endpoint::ServerId;
use crate::event::RequestId;
use crate::state_change::StateChange;
use crate::time::Micros;

/// Where actions are pushed.
pub(crate) type Actions = Vec<Action>;

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Timeout in microseconds; `None` until the client gives up.
        timeout: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of the sends.
        attempt: u32,
    },
    /// Final response: the request did not execute, or may be repeated without harm.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After in microseconds, if any.
        retry_after: Option<Micros>,
    },
    /// Final response: the request failed, and may have executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Pass [`Event::TimerFired`](crate::Event::TimerFired) later.
    SetTimer {
        /// Token of the event.
        token: u64,
        /// After this many microseconds.
        after: Micros,
    },
    /// Check the health of a server, and ask for its load.
    HealthCheck {
        /// The server.
        server: ServerId,
    },
    /// Send a message to other balancers.
    SendGossip {
        /// Number of the balancer, or `None` for all.
        to: Option<u32>,
        /// The message.
        message: Vec<u8>,
    },
    /// Poll the endpoint list, and subscribe to its changes.
    PollEndpoints,
    /// Tell operators of a change.
    Record(StateChange),
}
