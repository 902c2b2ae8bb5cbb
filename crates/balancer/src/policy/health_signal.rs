//! What the end of an attempt tells of its server.
//!
//! A response is a sample of the server's latency, and so is a timeout at a server that has served
//! others since the attempt was sent: that is slowness, not failure. Every other error is a
//! failure, which the failure detector counts. A rejection says that the server is full or drains,
//! and is no failure. An attempt that was cancelled or never sent tells nothing.

#[cfg(test)]
mod tests;

use crate::Outcome;
use crate::state::{InFlightAttempt, ServerState};

/// What the end of an attempt tells of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// It serves.
    Served,
    /// It serves others, and this attempt took too long: a sample of its latency.
    Slow,
    /// It is full, or drains.
    Rejected,
    /// It failed the attempt.
    Failed,
    /// Nothing: the attempt did not reach it, or was cancelled.
    Inconclusive,
}

impl HealthSignal {
    /// What the end of an attempt tells. A timeout at a server that has served others since the
    /// send is slowness.
    pub(crate) fn from_outcome(
        server: &ServerState,
        attempt: &InFlightAttempt,
        outcome: Outcome,
    ) -> Self {
        let has_served_since = server.failures.last_served_at() > attempt.sent_at;
        let serves_others = has_served_since && !server.suspicion.is_suspected();
        match outcome {
            Outcome::Served => Self::Served,
            Outcome::TimedOut if serves_others => Self::Slow,
            Outcome::Cancelled | Outcome::NotSent => Self::Inconclusive,
            Outcome::Rejected => Self::Rejected,
            Outcome::TimedOut | Outcome::ServerError | Outcome::ConnectFailed | Outcome::Reset => {
                Self::Failed
            }
        }
    }
}
