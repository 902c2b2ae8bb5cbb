//! The check before an attempt's first byte: whether the attempt may still begin.
//!
//! The balancer decides earlier: a slow connect or a busy event loop may delay the first write
//! after its decision. Pure functions: times and flags are parameters, which `send_guard` collects.
//! An attempt that is blocked here counts as not sent.

use std::time::Duration;

use crate::message::SendBlocked;

/// The state of an attempt when its first byte is about to be written.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendConditions {
    /// The client has closed its connection.
    pub client_disconnected: bool,
    /// Time until the attempt times out.
    pub time_left: Duration,
    /// Time until a retry may no longer begin, zero once that is over; `None` if there is no such
    /// limit.
    pub retry_time_left: Option<Duration>,
    /// Time since the notification that the server is draining or removed; `None` if it is ready.
    pub drain_age: Option<Duration>,
    /// The server's address has changed since the attempt was created: the old address may belong
    /// to another server now.
    pub server_address_changed: bool,
    /// The endpoint list is too old to show whether the server is draining.
    pub list_stale: bool,
}

/// Checks every condition that may change between the balancer's decision and the first byte. No
/// attempt begins at a server whose `drain_age` is `max_drain_age` or more.
///
/// # Errors
/// The first condition that blocks the attempt.
pub(super) fn check_conditions(
    conditions: &SendConditions,
    max_drain_age: Duration,
) -> Result<(), SendBlocked> {
    if conditions.client_disconnected {
        Err(SendBlocked::ClientDisconnected)
    } else if conditions.time_left.is_zero() {
        Err(SendBlocked::TimedOut)
    } else if conditions
        .retry_time_left
        .is_some_and(|left| left.is_zero())
    {
        Err(SendBlocked::RetryWindowExpired)
    } else if conditions.drain_age.is_some_and(|age| age >= max_drain_age) {
        Err(SendBlocked::ServerDraining)
    } else if conditions.server_address_changed {
        Err(SendBlocked::ServerAddressChanged)
    } else if conditions.list_stale {
        Err(SendBlocked::EndpointListStale)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
