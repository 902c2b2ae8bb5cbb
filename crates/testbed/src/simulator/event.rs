//! The simulator's events: arrivals, message deliveries, timeouts and faults.
//!
//! Defines the types only; the component that an event reaches handles it.

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

/// An event that the scheduler delivers at its time.
pub(super) enum SimulatorEvent {
    /// A client of this sidecar has a new arrival.
    Arrival(SidecarIndex, Arrival),
    /// The backoff before a client's retry has ended.
    RetryDue(SidecarIndex, ArrivalKey),
    /// A request's last byte reaches its sidecar.
    RequestAtSidecar(RequestKey),
    BalancerTimer(BalancerTimer),
    /// The latest time at which a sidecar can still respond before its client gives up.
    ResponseDeadline(SidecarIndex, RequestNumber),
    /// A client stops waiting for the response to a request.
    ClientTimeout(RequestKey),
    /// A client disconnects before its timeout.
    ClientDisconnect(RequestKey),
    /// A response reaches its client.
    ResponseAtClient(ClientResponse),
    /// A new connection's first packet reaches the server.
    ConnectAtServer(AttemptKey),
    /// A sidecar learns that an attempt's connection is open.
    ConnectionOpen(SidecarIndex, AttemptKey),
    /// An attempt's last byte reaches the server.
    AttemptAtServer(AttemptKey),
    /// The result of an attempt reaches its sidecar.
    AttemptResultAtSidecar(SidecarIndex, AttemptKey, Outcome),
    /// The timeout of an attempt, or of opening its connection, expires.
    AttemptTimeout(SidecarIndex, AttemptKey),
    /// A server detects that the sidecar has closed an attempt's connection.
    CancellationAtServer(Cancellation),
    /// A timer of a server model fires. The number is the generation of the timer, which identifies
    /// stale events.
    ServerTimer(ServerIndex, u32),
    /// A health check reaches its server.
    HealthCheckAtServer(HealthCheck),
    /// The result of a health check reaches its sidecar.
    HealthCheckResult(HealthCheckResult),
    /// The answer to a poll of the endpoint list reaches its sidecar, or the sidecar detects that
    /// the poll failed or that the watch ended.
    PollResult(PollResult),
    /// A change of the endpoint list reaches a sidecar through its watch.
    WatchNotification(SidecarProcess),
    /// Discovery detects a change of a server's status.
    ListChange(ListedEndpoint),
    /// The fault of this index starts, or ends.
    Fault {
        index: usize,
        starts: bool,
    },
    /// A restart of a sidecar begins, or the grace period of its shutdown ends.
    SidecarRestart(SidecarRestart),
    /// A sidecar starts again after a restart.
    SidecarUp(SidecarIndex),
    /// Records the servers' gauges and closes idle connections.
    GaugeTick,
}

pub(super) struct BalancerTimer {
    pub(super) process: SidecarProcess,
    /// The balancer's identifier of the timer.
    pub(super) token: u64,
}

/// A sidecar's final response to a request.
pub(super) struct ClientResponse {
    pub(super) request: RequestKey,
    pub(super) outcome: RequestOutcome,
    /// The Retry-After in microseconds.
    pub(super) retry_after: Micros,
}

/// An attempt whose connection its sidecar has closed.
pub(super) struct Cancellation {
    pub(super) server: ServerIndex,
    /// Start number of the server process that the connection belongs to.
    pub(super) server_start_number: u32,
    /// The attempt's job number in the server model.
    pub(super) job: u64,
}

/// A health check on its way to a server.
pub(super) struct HealthCheck {
    pub(super) process: SidecarProcess,
    pub(super) server: ServerIndex,
    /// One-way network delay to the server, in microseconds.
    pub(super) delay: Micros,
    /// Whether it opens a new connection.
    pub(super) new_connection: bool,
}

/// The result of a health check.
pub(super) struct HealthCheckResult {
    pub(super) process: SidecarProcess,
    pub(super) server: ServerIndex,
    pub(super) outcome: Outcome,
    /// Load report in the response, if there is one.
    pub(super) load: Option<LoadReport>,
}

/// A sidecar's poll of the endpoint list, and the watch that follows.
#[derive(Clone, Copy)]
pub(super) struct EndpointPoll {
    pub(super) process: SidecarProcess,
    /// The sidecar's number for the poll; results of earlier polls are ignored.
    pub(super) number: u32,
}

/// The result of a poll of the endpoint list.
pub(super) struct PollResult {
    pub(super) poll: EndpointPoll,
    /// Whether the poll failed, or the watch that followed it ended.
    pub(super) failed: bool,
}

/// A restart of a sidecar.
pub(super) struct SidecarRestart {
    pub(super) sidecar: SidecarIndex,
    /// How long the sidecar is down, in microseconds.
    pub(super) downtime: Micros,
    /// Whether the process is killed at once; otherwise it first responds to the requests that it
    /// has accepted.
    pub(super) kill: bool,
}
