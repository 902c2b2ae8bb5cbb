//! The end of a sidecar in service, within the time that the platform gives it.

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::downstream::listener::Listener;
use crate::host::BalancerHost;

/// Ends in order; `accept` is the task that accepts clients. Guards against requests lost at a
/// planned restart: clients still connect for a while, and what has been accepted gets its response
/// before the end.
pub(crate) async fn shut_down(host: &BalancerHost, listener: &Listener, accept: JoinHandle<()>) {
    let signalled_at = Instant::now();
    let limits = &host.limits.shutdown;
    sleep(limits.accept_for).await;
    let respond_by = signalled_at + limits.answer_after;
    let responses = finish_requests(host, listener, accept, respond_by);
    // Where the time is over, the process ends all the same.
    let _ = timeout_at(signalled_at + limits.exit_after, responses).await;
    tracing::info!("stopped\n{}", host.counters);
}

/// Waits until each request has its response and each client connection is closed. What is in
/// flight after `respond_by` gets its response then, whatever its attempts do.
async fn finish_requests(
    host: &BalancerHost,
    listener: &Listener,
    accept: JoinHandle<()>,
    respond_by: Instant,
) {
    tokio::select! {
        () = listener.close(accept) => return,
        () = sleep_until(respond_by) => host.force_shutdown(),
    }
    listener.closed().await;
}
