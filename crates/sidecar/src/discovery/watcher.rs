//! Decides when discovery is polled: when the balancer requests it, when discovery has been
//! relocated, and soon after a watch ends if the endpoint list may otherwise become stale.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use arrowstand_control::list_freshness::NextPoll;
use tokio::sync::watch::Receiver;
use tokio::time::sleep;

use super::endpoint_sink::EndpointSink;
use super::watch::poll_and_watch;
use super::watch_cursor::WatchCursor;
use super::watch_error::WatchError;
use crate::limits::Limits;

/// Smallest and largest delay of an early poll, as fractions of its maximum delay. The range is
/// random jitter, so that many sidecars do not poll at the same time.
const SOON_DELAY_FACTORS: (f64, f64) = (0.25, 1.0);
/// The same as fractions of the time until the list could expire in an outage of discovery. The
/// rest is for the poll to fail, which shows that the outage goes on.
const OUTAGE_DELAY_FACTORS: (f64, f64) = (0.5, 0.8);

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
                    tracing::warn!(%error, "discovery watch ended");
                    self.sink.on_watch_lost();
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
        let early_poll_delay = self.draw_early_poll_delay();
        tokio::select! {
            () = self.sink.poll_requested() => {}
            () = wait_for_relocation(&mut self.discovery) => self.on_discovery_relocated(),
            () = sleep(early_poll_delay.unwrap_or_default()), if early_poll_delay.is_some() => {}
        }
    }

    /// The delay after which discovery is polled although the balancer's backoff may be longer;
    /// `None` if only the balancer decides.
    fn draw_early_poll_delay(&mut self) -> Option<Duration> {
        let soon = self.limits.discovery.max_early_poll_delay;
        let (longest, factors) = match self.sink.list_freshness().next_poll()? {
            NextPoll::Soon => (soon, SOON_DELAY_FACTORS),
            NextPoll::Within(time_left) => (
                Duration::from_micros(time_left).max(soon),
                OUTAGE_DELAY_FACTORS,
            ),
        };
        let (smallest, largest) = factors;
        let factor = smallest + (largest - smallest) * self.random.f64();
        Some(longest.mul_f64(factor))
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

/// Waits until the address of discovery changes; never returns once its sender has been dropped.
async fn wait_for_relocation(discovery: &mut Receiver<SocketAddr>) {
    if discovery.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
