//! Decides when discovery is polled: when the balancer requests it, when discovery has been
//! relocated, and soon after a watch ends if the endpoint list may otherwise become stale.

use std::net::SocketAddr;
use std::rc::Rc;

use awc::error::{ConnectError, SendRequestError};
use tokio::sync::watch::Receiver;
use tokio::time::sleep;

use super::endpoint_sink::EndpointSink;
use super::watch::poll_and_watch;
use super::watch_cursor::WatchCursor;
use super::watch_error::WatchError;
use crate::limits::Limits;

/// Minimum delay of an early poll as a fraction of its maximum delay. The rest is random jitter, so
/// that many sidecars do not poll at the same time.
const MIN_EARLY_POLL_DELAY_FACTOR: f64 = 0.25;

/// Why a watch is no longer followed.
enum WatchExit {
    /// The watch could not be opened, ended or failed.
    Ended(WatchError),
    /// The address of discovery has changed.
    Relocated,
}

/// Keeps a watch on discovery open and replaces it when it ends.
pub(crate) struct Watcher {
    sink: EndpointSink,
    client: awc::Client,
    discovery: Receiver<SocketAddr>,
    cursor: WatchCursor,
    limits: Rc<Limits>,
    random: fastrand::Rng,
}

impl Watcher {
    /// Creates a watcher of the address in `discovery`. `revision` is that of the cached endpoint
    /// list, 0 if there is none; `seed` is for the delays of early polls.
    pub(crate) fn new(
        sink: EndpointSink,
        discovery: Receiver<SocketAddr>,
        revision: u64,
        limits: Rc<Limits>,
        seed: u64,
    ) -> Self {
        Self {
            client: http_client(&limits),
            sink,
            discovery,
            cursor: WatchCursor::new(revision),
            limits,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Watches discovery from the balancer's first poll request until the process exits.
    pub(crate) async fn run(mut self) {
        self.sink.poll_requested().await;
        loop {
            match self.watch_until_interrupted().await {
                WatchExit::Ended(error) => {
                    self.on_watch_ended(&error);
                    self.wait_for_next_poll().await;
                }
                WatchExit::Relocated => self.on_discovery_relocated(),
            }
        }
    }

    /// Polls and watches until the watch ends or discovery is relocated.
    async fn watch_until_interrupted(&mut self) -> WatchExit {
        let address = *self.discovery.borrow_and_update();
        let sink = &self.sink;
        let watch = poll_and_watch(sink, &self.client, address, &self.cursor, &self.limits);
        tokio::pin!(watch);
        loop {
            tokio::select! {
                error = &mut watch => return WatchExit::Ended(error),
                // The poll is in progress and repeats itself. A new one would be queued behind the
                // polls of other sidecars.
                () = sink.poll_requested() => {}
                // The old address may still respond, but without the changes known at the new one.
                () = wait_for_relocation(&mut self.discovery) => return WatchExit::Relocated,
            }
        }
    }

    /// Waits until discovery must be polled again after a watch has ended.
    async fn wait_for_next_poll(&mut self) {
        // The balancer's backoff may be longer than the time until the list becomes stale.
        let needs_early_poll = self.sink.list_freshness().needs_early_poll();
        let delay = self.limits.discovery.max_early_poll_delay.mul_f64(
            MIN_EARLY_POLL_DELAY_FACTOR + (1.0 - MIN_EARLY_POLL_DELAY_FACTOR) * self.random.f64(),
        );
        tokio::select! {
            () = self.sink.poll_requested() => {}
            () = wait_for_relocation(&mut self.discovery) => self.on_discovery_relocated(),
            () = sleep(delay), if needs_early_poll => {}
        }
    }

    fn on_watch_ended(&self, error: &WatchError) {
        tracing::warn!(%error, "discovery watch ended");
        let freshness = self.sink.list_freshness();
        if matches!(
            error,
            WatchError::PollFailed(_) | WatchError::PollRejected(_)
        ) {
            self.sink.on_poll_failed();
        }
        match error {
            WatchError::WatchSilent { last_received_at } => {
                freshness.on_watch_silent(*last_received_at);
            }
            WatchError::PollFailed(error) if is_connection_refused(error) => {
                freshness.on_poll_refused();
            }
            _ => freshness.on_watch_ended(),
        }
        self.sink.on_watch_lost();
    }

    /// Limits the time for which the list still counts as fresh, whether or not a poll succeeds
    /// within it.
    fn on_discovery_relocated(&self) {
        self.sink.list_freshness().on_discovery_relocated();
    }
}

fn http_client(limits: &Limits) -> awc::Client {
    let connector = awc::Connector::new()
        .timeout(limits.discovery.connect_timeout)
        .conn_lifetime(limits.client.max_timeout);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// True if no process listens at the address of discovery.
fn is_connection_refused(error: &SendRequestError) -> bool {
    matches!(
        error,
        SendRequestError::Connect(ConnectError::Io(error))
            if error.kind() == std::io::ErrorKind::ConnectionRefused
    )
}

/// Waits until the address of discovery changes; never returns once its sender has been dropped.
async fn wait_for_relocation(discovery: &mut Receiver<SocketAddr>) {
    if discovery.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
