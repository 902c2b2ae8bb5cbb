//! Events that the host passes to [`Balancer::handle`](crate::Balancer::handle).

use crate::endpoint::{Endpoint, ServerId, UpdateKind};
use crate::request_class::ClassId;
use crate::time::Micros;

/// Identifier that the host assigns to a request; unique for the lifetime of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request received from a client.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Request class.
    pub class: ClassId,
    /// Time until the client gives up, in microseconds.
    pub time_left: Micros,
    /// Execution time on a standard core in microseconds, if the client sent it.
    pub work_hint: Option<Micros>,
}

/// Outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded successfully.
    Served,
    /// The server responded with an error; the request may have executed.
    ServerError,
    /// The server rejected the request without executing it.
    Rejected,
    /// No response arrived before the timeout; the request may have executed or may still be
    /// executing.
    TimedOut,
    /// No connection could be established; the request did not execute.
    ConnectFailed,
    /// The connection broke; the request may have executed.
    Reset,
    /// The balancer cancelled the attempt; the request may have executed.
    Cancelled,
    /// The request was not sent.
    NotSent,
}

impl Outcome {
    /// Returns true if the outcome proves that the request did not execute.
    pub fn never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// Load reported by a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests at the server, executing or queued.
    pub in_flight: f64,
    /// Requests in the server's queue, which `in_flight` includes.
    pub queued: f64,
}

/// Result of an attempt that ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the attempt within its request, counted from 0 in send order.
    pub attempt: u32,
    /// Server that the attempt was sent to.
    pub server: ServerId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// True if the request has its final response, from this attempt or an earlier one.
    pub request_finished: bool,
    /// Time since the attempt was sent, in microseconds.
    pub elapsed: Micros,
    /// Load report in the response, if any.
    pub load_report: Option<LoadReport>,
}

/// An event that the balancer reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed, or its source became unavailable.
    EndpointsUpdated {
        /// Content of the update.
        kind: UpdateKind,
        /// Version of the list; updates with an older version are ignored.
        version: u64,
        /// Entries of the update.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived. It gets exactly one final response unless its client disconnects.
    RequestArrived(IncomingRequest),
    /// A streamed response started; its request is not retried any more.
    ResponseStarted {
        /// Request that is being answered.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected; its request no longer needs a response.
    ClientDisconnected {
        /// Request of the client.
        request: RequestId,
    },
    /// A timer fired.
    TimerFired {
        /// Token that the timer was set with.
        token: u64,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// Server that was checked.
        server: ServerId,
        /// Outcome of the health check.
        outcome: Outcome,
        /// Load report in the response, if any.
        load_report: Option<LoadReport>,
    },
    /// A gossip message arrived.
    GossipReceived {
        /// Index of the sending balancer.
        from: u32,
        /// Encoded message; malformed messages are ignored.
        message: Vec<u8>,
    },
}
