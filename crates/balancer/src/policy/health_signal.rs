//! Classifies the outcome of an attempt as a passive health signal for its server.
//!
//! A response is a latency sample. A timeout is one too, if the server is not suspected and has
//! served another attempt since this one was sent: the server is slow but has not failed. Every
//! other error counts as a failure for the failure detector. A rejection means that the server is
//! at capacity or draining and does not count as a failure. An attempt that was cancelled or never
//! sent is inconclusive.

#[cfg(test)]
mod tests;

use crate::Outcome;
use crate::state::{InFlightAttempt, ServerState};

/// Passive health signal derived from the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// The server served the attempt.
    Served,
    /// The attempt timed out at a server that serves others; it counts as a latency sample.
    Slow,
    /// The server rejected the attempt because it is at capacity or draining.
    Rejected,
    /// The server failed the attempt.
    Failed,
    /// The attempt was cancelled or did not reach the server.
    Inconclusive,
}

impl HealthSignal {
    /// Classifies the `outcome` of an `attempt` that was sent to `server`.
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
