//! Graceful shutdown of the sidecar.
//!
//! The end is decided by what clients are still owed and by no time: the process exits once the
//! listener is closed and no connection is left. A time only decides when the responses that are
//! still outstanding are made.

use std::pin::pin;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

use crate::downstream::listener::Listener;
use crate::limits::ShutdownLimits;
use crate::proxy::Proxy;

/// Shuts down gracefully; `accept_task` is the task that accepts client connections. It keeps
/// accepting for a while, because clients still connect after the signal. Returns once every
/// accepted request has its response and every client connection is closed, so that a planned
/// restart loses none. Whoever wants an earlier end sends SIGKILL.
pub(crate) async fn shut_down(
    proxy: &Proxy,
    listener: &Listener,
    accept_task: JoinHandle<()>,
    limits: &ShutdownLimits,
) {
    let signalled_at = Instant::now();
    sleep(limits.accept_period).await;
    let respond_by = signalled_at + limits.forced_response_after;
    finish_requests(proxy, listener, accept_task, respond_by).await;
}

/// Waits until every request has its response and every client connection is closed. Requests still
/// in flight at `respond_by` get their responses then, regardless of their attempts; from then on
/// connections that no request needs are closed.
async fn finish_requests(
    proxy: &Proxy,
    listener: &Listener,
    accept_task: JoinHandle<()>,
    respond_by: Instant,
) {
    let mut closed = pin!(listener.close(accept_task));
    if timeout_at(respond_by, closed.as_mut()).await.is_ok() {
        return;
    }
    log_open_connections(listener, respond_by.elapsed());
    proxy.force_shutdown();
    tokio::select! {
        biased;
        () = closed => {}
        never = listener.reclaim_all() => match never {},
    }
}

/// Logs what clients are still owed when the last responses are made, `delay` after they were due.
fn log_open_connections(listener: &Listener, delay: Duration) {
    let counts = listener.connection_counts();
    tracing::warn!(
        delay_ms = delay.as_millis(),
        connections = counts.open,
        in_flight = counts.in_flight,
        unwritten = counts.unwritten,
        incomplete = counts.incomplete,
        "shutdown forces the outstanding responses"
    );
}
