//! Changes of the balancer's state that operators want to see. Hosts word them.

use crate::endpoint::ServerId;

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// The endpoint list may be stale from now on: its subscription ended. Polls that fail until
    /// there is another subscription are no further change.
    EndpointListLost,
    /// The state of a server changed.
    Server {
        /// The server.
        server: ServerId,
        /// What happened to it.
        event: ServerEvent,
    },
}

/// What happened to a server, as the failure detector sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// It is suspected to have failed: other servers are preferred, and its attempts are retried.
    Ejected {
        /// What raised the suspicion.
        cause: EjectionCause,
    },
    /// It has shown no sign of life for so long that it counts as dead.
    DeclaredDead,
    /// The suspicion ended: it is used again.
    Readmitted,
}

/// What raised a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Health checks failed.
    HealthChecks,
    /// Attempts failed or are overdue.
    Attempts,
    /// Another balancer suspects the server.
    Gossip,
}
