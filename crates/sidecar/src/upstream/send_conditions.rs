//! The check before an attempt's first byte: whether the attempt may still begin.
//!
//! The balancer decides earlier; a slow connect or a busy event loop may lie between its decision
//! and the first write. Pure: times and flags are handed in (`send_guard` collects them). An attempt
//! that is blocked here counts as not sent.

use std::time::Duration;

use crate::message::SendBlocked;

/// What is known at the moment in which the first byte would be written.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendConditions {
    /// The client has closed its connection.
    pub client_left: bool,
    /// Time until the attempt times out.
    pub time_left: Duration,
    /// Time in which a retry may still begin, zero once that is over; `None` where it is not
    /// bounded.
    pub retry_window_left: Option<Duration>,
    /// Time since the server's drain was notified; `None` where it is not draining.
    pub drain_age: Option<Duration>,
    /// The server's address has changed since the attempt was made: another server may have taken
    /// the old one.
    pub server_moved: bool,
    /// The endpoint list is so old that the server may be draining without the list showing it.
    pub list_stale: bool,
}

/// Checks every rule that may be broken by the time that passes between a decision and the first
/// byte. A server takes nothing new once its drain is `max_drain_age` old.
///
/// # Errors
/// The first rule that the attempt would break.
pub(super) fn check(
    conditions: &SendConditions,
    max_drain_age: Duration,
) -> Result<(), SendBlocked> {
    if conditions.client_left {
        Err(SendBlocked::ClientDisconnected)
    } else if conditions.time_left.is_zero() {
        Err(SendBlocked::TimedOut)
    } else if conditions
        .retry_window_left
        .is_some_and(|left| left.is_zero())
    {
        Err(SendBlocked::RetryWindowExpired)
    } else if conditions.drain_age.is_some_and(|age| age >= max_drain_age) {
        Err(SendBlocked::ServerDraining)
    } else if conditions.server_moved {
        Err(SendBlocked::ServerAddressChanged)
    } else if conditions.list_stale {
        Err(SendBlocked::EndpointListStale)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
