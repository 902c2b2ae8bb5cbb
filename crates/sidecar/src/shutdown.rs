//! Graceful shutdown of the sidecar, within the time that the platform allows.

use tokio::task::JoinHandle;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep, timeout_at};

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
    let responses = async {
        if finish_requests(listener, accept_task, respond_by)
            .await
            .is_err()
        {
            log_open_connections("responses forced", signalled_at, listener);
            proxy.force_shutdown();
            listener.wait_until_closed().await;
        }
    };
    // The process ends after the timeout even if responses are outstanding.
    if timeout_at(signalled_at + limits.exit_after, responses)
        .await
        .is_err()
    {
        log_open_connections("exit time reached", signalled_at, listener);
    }
}

/// Logs what clients are still owed at a step of the shutdown.
fn log_open_connections(step: &str, signalled_at: Instant, listener: &Listener) {
    let counts = listener.connection_counts();
    tracing::warn!(
        step,
        after_ms = signalled_at.elapsed().as_millis(),
        connections = counts.open,
        in_flight = counts.in_flight,
        unwritten = counts.unwritten,
        incomplete = counts.incomplete,
        "shutdown with open connections"
    );
}

/// Waits until every request has its response and every client connection is closed.
///
/// # Errors
/// Some connections are still open at `respond_by`.
async fn finish_requests(
    listener: &Listener,
    accept_task: JoinHandle<()>,
    respond_by: Instant,
) -> Result<(), Elapsed> {
    timeout_at(respond_by, listener.close(accept_task)).await
}
