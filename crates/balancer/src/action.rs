//! Actions that the balancer requests from its host.

use crate::endpoint::ServerId;
use crate::event::RequestId;
use crate::state_change::StateChange;
use crate::time::Micros;

/// The list that event handlers append their actions to.
pub(crate) type Actions = Vec<Action>;

/// One action that the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// Request to send.
        request: RequestId,
        /// Destination.
        server: ServerId,
        /// Timeout of the attempt in microseconds; without one it ends at the client's deadline.
        timeout: Option<Micros>,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt within its request, counted from 0 in send order.
        attempt: u32,
    },
    /// Send the client a rejection as the final response. The client may retry: the request did not
    /// execute, or a repeated execution is harmless.
    Reject {
        /// Request to reject.
        request: RequestId,
        /// Value of the Retry-After header in microseconds, if one is to be sent.
        retry_after: Option<Micros>,
    },
    /// Send the client an error as the final response. The request may have executed.
    Fail {
        /// Request that failed.
        request: RequestId,
    },
    /// Set a timer that fires as [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// Token that the event carries.
        token: u64,
        /// Delay in microseconds.
        after: Micros,
    },
    /// Send a health check, whose response may carry a load report.
    HealthCheck {
        /// Server to check.
        server: ServerId,
    },
    /// Send a gossip message.
    SendGossip {
        /// Index of the receiving balancer, or `None` for all balancers.
        to: Option<u32>,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Poll the endpoint list, and subscribe to its changes.
    PollEndpoints,
    /// Report a state change to operators.
    Record(StateChange),
}
