//! The end of a sidecar in service, within the time that the platform gives it.

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::downstream::listener::Listener;
use crate::limits::ShutdownLimits;
use crate::proxy::Proxy;

/// Ends in order; `accept` is the task that accepts clients. Clients still connect for a while
/// after the signal, so a planned restart loses no request: what has been accepted gets its
/// response before the end.
pub(crate) async fn shut_down(
    proxy: &Proxy,
    listener: &Listener,
    accept: JoinHandle<()>,
    limits: &ShutdownLimits,
) {
    let signalled_at = Instant::now();
    sleep(limits.accept_period).await;
    let respond_by = signalled_at + limits.forced_response_after;
    let responses = finish_requests(proxy, listener, accept, respond_by);
    // Where the time is over, the process ends all the same.
    let _ = timeout_at(signalled_at + limits.exit_after, responses).await;
}

/// Waits until each request has its response and each client connection is closed. What is in
/// flight after `respond_by` gets its response then, whatever its attempts do.
async fn finish_requests(
    proxy: &Proxy,
    listener: &Listener,
    accept: JoinHandle<()>,
    respond_by: Instant,
) {
    tokio::select! {
        () = listener.close(accept) => return,
        () = sleep_until(respond_by) => proxy.force_shutdown(),
    }
    listener.closed().await;
}
