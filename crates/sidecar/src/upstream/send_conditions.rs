//! The check before an attempt's first byte: whether the attempt may still be sent.
//!
//! Time may pass between the balancer's decision to send the attempt and this check: a slow connect
//! or a busy event loop may delay the first write. The check is a pure function of conditions that
//! `send_guard` collects. An attempt that is blocked here counts as not sent.

use std::time::Duration;

use crate::message::SendBlocked;

/// The state of an attempt when its first byte is about to be written.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendConditions {
    /// The client has disconnected.
    pub client_disconnected: bool,
    /// Time until the attempt times out.
    pub attempt_time_left: Duration,
    /// Time until the retry window of a retry expires; `None` if it has no retry window.
    pub retry_window_left: Option<Duration>,
    /// Time since the server stopped being ready, because it is draining or removed; `None` while
    /// it is ready.
    pub time_not_ready: Option<Duration>,
    /// The server's address has changed since the attempt was created, or belongs to another server
    /// now: the old address may belong to another one as well.
    pub server_address_changed: bool,
    /// The endpoint list is too old to show whether the server is draining.
    pub endpoint_list_stale: bool,
}

/// Checks every condition that may change between the balancer's decision and the first byte. An
/// attempt is blocked if `time_not_ready` is `max_time_not_ready` or more.
///
/// # Errors
/// The first condition that blocks the attempt.
pub(super) fn check_conditions(
    conditions: &SendConditions,
    max_time_not_ready: Duration,
) -> Result<(), SendBlocked> {
    if conditions.client_disconnected {
        Err(SendBlocked::ClientDisconnected)
    } else if conditions.attempt_time_left.is_zero() {
        Err(SendBlocked::AttemptTimedOut)
    } else if conditions
        .retry_window_left
        .is_some_and(|left| left.is_zero())
    {
        Err(SendBlocked::RetryWindowExpired)
    } else if conditions
        .time_not_ready
        .is_some_and(|age| age >= max_time_not_ready)
    {
        Err(SendBlocked::ServerDraining)
    } else if conditions.server_address_changed {
        Err(SendBlocked::ServerAddressChanged)
    } else if conditions.endpoint_list_stale {
        Err(SendBlocked::EndpointListStale)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
