//! Graceful shutdown of the sidecar, within the time that the platform allows.

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::downstream::listener::Listener;
use crate::limits::ShutdownLimits;
use crate::proxy::Proxy;

/// Shuts down gracefully; `accept_task` is the task that accepts client connections. It keeps
/// accepting for a while, because clients still connect after the signal. Accepted requests get
/// their responses before the process ends, so that a planned restart loses none.
pub(crate) async fn shut_down(
    proxy: &Proxy,
    listener: &Listener,
    accept_task: JoinHandle<()>,
    limits: &ShutdownLimits,
) {
    let signalled_at = Instant::now();
    sleep(limits.accept_period).await;
    let respond_by = signalled_at + limits.forced_response_after;
    let responses = finish_requests(proxy, listener, accept_task, respond_by);
    // The process ends after the timeout even if responses are outstanding.
    let _ = timeout_at(signalled_at + limits.exit_after, responses).await;
}

/// Waits until every request has its response and every client connection is closed. Requests still
/// in flight at `respond_by` get their responses then, regardless of their attempts.
async fn finish_requests(
    proxy: &Proxy,
    listener: &Listener,
    accept_task: JoinHandle<()>,
    respond_by: Instant,
) {
    tokio::select! {
        () = listener.close(accept_task) => return,
        () = sleep_until(respond_by) => proxy.force_shutdown(),
    }
    listener.wait_until_closed().await;
}
