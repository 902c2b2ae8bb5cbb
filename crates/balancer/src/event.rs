//! Events: what the host reports to [`Balancer::handle`](crate::Balancer::handle).

use crate::endpoint::{Endpoint, ServerId, UpdateKind};
use crate::request_class::ClassId;
use crate::time::Micros;

/// A request, as the host numbers it; no number is used twice by one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request as it arrived from a client.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// How long its client still waits, in microseconds.
    pub time_left: Micros,
    /// Its work in microseconds on a usual core, where the client states it.
    pub work_hint: Option<Micros>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded well.
    Served,
    /// The server responded with an error; the request may have executed.
    ServerError,
    /// The server rejected the request; it never executed.
    Rejected,
    /// No response in time; the request may have executed or be executing.
    TimedOut,
    /// No connection was established; the request never executed.
    ConnectFailed,
    /// The connection broke; the request may have executed.
    Reset,
    /// This balancer cancelled the attempt; the request may have executed.
    Cancelled,
    /// The request was never sent.
    NotSent,
}

impl Outcome {
    /// True where the outcome proves that the request did not execute.
    pub fn never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// The load that a server reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at it, executing or queued.
    pub in_flight: f64,
    /// Those of them that are queued.
    pub queued: f64,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order of the sends.
    pub attempt: u32,
    /// The server it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final response, through this attempt or before.
    pub finished: bool,
    /// Microseconds since the send.
    pub elapsed: Micros,
    /// The load report of the response, if any.
    pub load_report: Option<LoadReport>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed, or was lost.
    EndpointsUpdated {
        /// What the update contains.
        kind: UpdateKind,
        /// Version of the list; updates of an older version are ignored.
        version: u64,
        /// The servers that it names.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived; it gets one final response.
    RequestArrived(IncomingRequest),
    /// A response started to stream.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; its request needs no response any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer fired.
    TimerFired {
        /// The token it was set with.
        token: u64,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The server that was checked.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The load report of the response, if any.
        load_report: Option<LoadReport>,
    },
    /// A message from another balancer.
    GossipReceived {
        /// Number of the balancer that sent it.
        from: u32,
        /// The message; malformed ones are ignored.
        message: Vec<u8>,
    },
}
