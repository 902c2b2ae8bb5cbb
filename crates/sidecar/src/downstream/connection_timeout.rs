//! Until when a client's connection may go on, whatever its socket does.

use tokio::time::{Instant, sleep_until};

use super::connection::ClientConnection;
use crate::limits::Limits;

/// While a request is in flight there is no deadline, and it is looked for again so often in an
/// idle timeout.
const DEADLINE_CHECKS_PER_IDLE_TIMEOUT: u32 = 4;

/// Waits until the connection is to end: its deadline has passed, or it is closing and idle.
/// Without this a client that sends nothing, or never ends what it sends, would hold its permit for
/// ever.
pub(super) async fn wait_for_timeout_or_close(client: &ClientConnection, limits: &Limits) {
    let recheck = limits.client.idle_timeout / DEADLINE_CHECKS_PER_IDLE_TIMEOUT;
    loop {
        let wake_at = client
            .deadline(limits)
            .unwrap_or_else(|| Instant::now() + recheck);
        tokio::select! {
            () = sleep_until(wake_at) => {}
            () = client.close_state().wait_for_close_request() => if is_still_idle(client).await { return },
        }
        if is_past_deadline(client, limits) {
            return;
        }
    }
}

/// True where the connection is idle after the sockets were polled once more: the operating system
/// may have a request that was not read yet, and that one still gets its response.
async fn is_still_idle(client: &ClientConnection) -> bool {
    tokio::task::yield_now().await;
    client.idle_rank().is_some()
}

fn is_past_deadline(client: &ClientConnection, limits: &Limits) -> bool {
    client
        .deadline(limits)
        .is_some_and(|deadline| deadline <= Instant::now())
}
