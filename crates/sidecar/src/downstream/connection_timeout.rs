//! Enforces the deadlines of a client's connection, independently of activity on its socket.

use tokio::time::{Instant, sleep_until};

use super::connection::ClientConnection;
use crate::limits::Limits;

/// A connection has no deadline while a request is in flight on it. Meanwhile, whether it has one
/// again is checked this many times per idle timeout.
const DEADLINE_CHECKS_PER_IDLE_TIMEOUT: u32 = 4;

/// Why a connection must end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// It is idle, and a close was requested.
    Idle,
    /// Its deadline has passed.
    TimedOut,
    /// Its request is incomplete, and others need its permit.
    IncompleteRequest,
}

/// Waits until the connection must end: its deadline has passed, or a close is requested and it is
/// idle. Without this, a client that sends nothing or never completes a request would hold its
/// permit forever.
pub(super) async fn wait_for_timeout_or_close(
    client: &ClientConnection,
    limits: &Limits,
) -> ConnectionEnd {
    let recheck = limits.client.idle_timeout / DEADLINE_CHECKS_PER_IDLE_TIMEOUT;
    loop {
        let wake_at = client
            .deadline(limits)
            .unwrap_or_else(|| Instant::now() + recheck);
        tokio::select! {
            () = sleep_until(wake_at) => {}
            () = client.close_state().wait_for_close_request() => {
                if is_still_idle(client).await {
                    return ConnectionEnd::Idle;
                }
                if client.close_state().is_evicted() && client.incomplete_since().is_some() {
                    return ConnectionEnd::IncompleteRequest;
                }
            }
        }
        if is_past_deadline(client, limits) {
            return ConnectionEnd::TimedOut;
        }
    }
}

/// Polls the sockets once more and returns whether the connection is still idle. The operating
/// system may hold a request that was not read yet, and that request must still get its response.
async fn is_still_idle(client: &ClientConnection) -> bool {
    tokio::task::yield_now().await;
    client.idle_state().is_some()
}

fn is_past_deadline(client: &ClientConnection, limits: &Limits) -> bool {
    client
        .deadline(limits)
        .is_some_and(|deadline| deadline <= Instant::now())
}
