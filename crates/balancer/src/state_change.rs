//! State changes that are reported to operators. Hosts format the messages.

use crate::endpoint::ServerId;

/// A change of the balancer's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// The subscription to the endpoint list ended, so the list may be stale. Failed polls are not
    /// reported again until a new subscription has been established.
    EndpointListLost,
    /// The failure detector changed the state of a server.
    Server {
        /// Server whose state changed.
        server: ServerId,
        /// The change.
        event: ServerEvent,
    },
}

/// Change of a server's state by the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// The server is suspected to have failed: other servers are preferred, and its attempts in
    /// flight are retried elsewhere.
    Ejected {
        /// Evidence that raised the suspicion.
        cause: EjectionCause,
    },
    /// The server has been suspected for so long that it is considered dead.
    DeclaredDead,
    /// The suspicion ended and the server is used again.
    Readmitted,
}

/// Evidence that raised a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Health checks failed.
    HealthChecks,
    /// Attempts failed or responses are overdue.
    Attempts,
    /// Another balancer reported a suspicion by gossip.
    Gossip,
}
