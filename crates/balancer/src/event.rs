//! Events: what the host reports to [`Balancer::handle`](crate::Balancer::handle).

use crate::endpoint::{Endpoint, ServerId, UpdateKind};
use crate::request_class::ClassId;
use crate::time::Micros;

/// A request; never used twice within one life of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request as it came from a client.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// How long the client still waits for this try.
    pub time_left: Micros,
    /// Expected work, in time on a standard core, where the client can tell.
    pub work_hint: Option<Micros>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered well.
    Served,
    /// Answered with an error; may have run.
    ServerError,
    /// Rejected unseen; never ran.
    Rejected,
    /// No answer in time; may have run or still be running.
    TimedOut,
    /// No connection came about; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by this balancer; may have run.
    Cancelled,
    /// Never left this balancer.
    NotSent,
}

impl Outcome {
    /// True where the outcome proves that the attempt had no effect.
    pub fn never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// What a server says of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests it holds, running and waiting.
    pub in_flight: f64,
    /// Those of them that wait.
    pub queued: f64,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, in the order of the sends.
    pub attempt: u32,
    /// The server it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer, through this outcome or before.
    pub finished: bool,
    /// Time since the send.
    pub elapsed: Micros,
    /// Load report that came along.
    pub load_report: Option<LoadReport>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    EndpointsUpdated {
        /// What it holds.
        kind: UpdateKind,
        /// Version of the list.
        version: u64,
        /// The servers named.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived; it is owed one final answer.
    RequestArrived(IncomingRequest),
    /// A streamed answer started.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; nothing more is owed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    TimerFired {
        /// The token it was set with.
        token: u64,
    },
    /// A probe ended.
    HealthCheckEnded {
        /// The server probed.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Load report that came along.
        load_report: Option<LoadReport>,
    },
    /// A message from another balancer.
    GossipReceived {
        /// Its number.
        from: u32,
        /// What it sent.
        message: Vec<u8>,
    },
}
