//! What happens in the simulator at a moment: arrivals, messages that reach their end, timeouts,
//! faults.
//!
//! Only the types; each is handled in the file of whom it reaches.

use arrowstand_balancer::Outcome;

use super::attempts::AttemptKey;
use super::discovery::ListedEndpoint;
use super::process::SidecarProcess;
use super::request::{ArrivalKey, RequestKey};
use crate::event_log::RequestOutcome;
use crate::index::{RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::Micros;
use crate::server_model::LoadReport;
use crate::workload::Arrival;

/// An event on the timeline.
pub(super) enum SimulatorEvent {
    /// A client of this sidecar wants something.
    Arrival(SidecarIndex, Arrival),
    /// A client's backoff is over.
    RetryDue(SidecarIndex, ArrivalKey),
    /// A request's last byte is at its sidecar.
    RequestAtSidecar(RequestKey),
    /// A timer of a balancer fires.
    BalancerTimer(BalancerTimer),
    /// The last moment at which a sidecar can respond in time.
    ResponseDeadline(SidecarIndex, RequestNumber),
    /// A client's timeout is over.
    ClientTimeout(RequestKey),
    /// A client disconnects early.
    ClientDisconnect(RequestKey),
    /// The response is at the client.
    ResponseAtClient(ClientResponse),
    /// A new connection's first packet is at the server.
    ConnectAtServer(AttemptKey),
    /// The sidecar knows that its connection is open.
    ConnectionOpen(SidecarIndex, AttemptKey),
    /// An attempt's last byte is at the server.
    AttemptAtServer(AttemptKey),
    /// The end of an attempt is at its sidecar.
    AttemptResultAtSidecar(SidecarIndex, AttemptKey, Outcome),
    /// An attempt's time is over, or the time in which its connection must be open.
    AttemptTimeout(SidecarIndex, AttemptKey),
    /// A server notices that an attempt's connection was closed.
    CancellationAtServer(Cancellation),
    /// A server has something to do by itself; the number tells stale events from the present one.
    ServerTimer(ServerIndex, u32),
    /// A health check is at its server.
    HealthCheckAtServer(HealthCheck),
    /// The end of a health check is at its sidecar.
    HealthCheckResult(HealthCheckResult),
    /// The answer to a poll of the endpoint list is at its sidecar, or its loss is noticed.
    PollResult(PollResult),
    /// A change of the endpoint list has reached a sidecar's watch.
    WatchNotification(SidecarProcess),
    /// Discovery notices what has happened to a server.
    ListChange(ListedEndpoint),
    /// The fault of this index starts, or ends.
    Fault { index: usize, starts: bool },
    /// A sidecar is to be restarted.
    SidecarRestart(SidecarRestart),
    /// A sidecar is up again.
    SidecarUp(SidecarIndex),
    /// Gauges are recorded, and idle connections closed.
    GaugeTick,
}

/// A timer of a balancer.
pub(super) struct BalancerTimer {
    pub(super) process: SidecarProcess,
    /// The balancer's own name for it.
    pub(super) token: u64,
}

/// A sidecar's final response to a request.
pub(super) struct ClientResponse {
    pub(super) request: RequestKey,
    pub(super) outcome: RequestOutcome,
    /// Retry-After in microseconds.
    pub(super) retry_after: Micros,
}

/// An attempt whose connection was closed by its sidecar.
pub(super) struct Cancellation {
    pub(super) server: ServerIndex,
    /// The server's start that the connection belongs to.
    pub(super) server_start: u32,
    pub(super) job: u64,
}

/// A health check on its way.
pub(super) struct HealthCheck {
    pub(super) process: SidecarProcess,
    pub(super) server: ServerIndex,
    /// One way to the server, in microseconds.
    pub(super) delay: Micros,
    /// Whether it opens a connection of its own.
    pub(super) new_connection: bool,
}

/// How a health check ended.
pub(super) struct HealthCheckResult {
    pub(super) process: SidecarProcess,
    pub(super) server: ServerIndex,
    pub(super) outcome: Outcome,
    /// What a response reports.
    pub(super) load: Option<LoadReport>,
}

/// A sidecar's poll of the endpoint list, and the watch that follows it.
#[derive(Clone, Copy)]
pub(super) struct EndpointPoll {
    pub(super) process: SidecarProcess,
    /// The sidecar's number of the poll: results of earlier ones are void.
    pub(super) number: u32,
}

/// How a poll of the endpoint list ended.
pub(super) struct PollResult {
    pub(super) poll: EndpointPoll,
    /// Whether it failed, or the watch that followed was cut.
    pub(super) failed: bool,
}

/// A restart of a sidecar.
pub(super) struct SidecarRestart {
    pub(super) sidecar: SidecarIndex,
    /// How long it is down, in microseconds.
    pub(super) down_time: Micros,
    /// Whether it is killed; else it responds first to what it has accepted.
    pub(super) kill: bool,
}
