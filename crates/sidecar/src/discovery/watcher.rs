//! When discovery is polled: for each poll that the balancer asks for, and at once where discovery
//! was relocated or where the endpoint list would otherwise count as stale.

use std::net::SocketAddr;
use std::rc::Rc;

use awc::error::{ConnectError, SendRequestError};
use tokio::sync::watch::Receiver;
use tokio::time::sleep;

use super::endpoint_sink::EndpointSink;
use super::watch::watch;
use super::watch_cursor::WatchCursor;
use super::watch_error::WatchError;
use crate::limits::Limits;

/// An early poll comes after at least this part of the retry delay; the rest is drawn, so that many
/// sidecars do not poll in step.
const MIN_RETRY_DELAY_FACTOR: f64 = 0.25;

/// Why discovery is polled.
#[derive(Clone, Copy, PartialEq)]
enum PollReason {
    /// The balancer asked for it, or the poll replaces one that it had asked for.
    Requested,
    /// The balancer has not asked for it yet.
    Early,
}

/// Why a watch is over.
enum WatchExit {
    /// It could not be opened, or it ended or failed.
    Ended(WatchError),
    /// The balancer asked for another poll meanwhile.
    Superseded,
    /// Discovery is at another address.
    Relocated,
}

/// Follows discovery, from one watch to the next.
pub(crate) struct Watcher {
    sink: EndpointSink,
    client: awc::Client,
    discovery: Receiver<SocketAddr>,
    cursor: WatchCursor,
    limits: Rc<Limits>,
    random: fastrand::Rng,
}

impl Watcher {
    /// A watcher of the discovery at `discovery`. `revision` is that of the cached endpoint list, 0
    /// if there is none; `seed` is of the delays of early polls.
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

    /// Follows discovery for as long as the program runs, from the balancer's first request for a
    /// poll.
    pub(crate) async fn run(mut self) {
        self.sink.poll_requested().await;
        let mut reason = PollReason::Requested;
        loop {
            let exit = self.watch_until_interrupted(reason).await;
            reason = self.on_watch_exit(exit).await;
        }
    }

    /// Records how a watch ended, and waits until the next poll is due where that is not now.
    async fn on_watch_exit(&mut self, exit: WatchExit) -> PollReason {
        match exit {
            WatchExit::Ended(error) => {
                self.on_watch_ended(&error);
                self.next_poll().await
            }
            WatchExit::Superseded => {
                self.sink.freshness().on_poll_abandoned();
                PollReason::Requested
            }
            WatchExit::Relocated => {
                self.on_discovery_relocated();
                PollReason::Requested
            }
        }
    }

    /// Polls and watches until the watch ends or another one is to replace it.
    async fn watch_until_interrupted(&mut self, mut reason: PollReason) -> WatchExit {
        let address = *self.discovery.borrow_and_update();
        let sink = &self.sink;
        let watch = watch(sink, &self.client, address, &self.cursor, &self.limits);
        tokio::pin!(watch);
        loop {
            tokio::select! {
                error = &mut watch => return WatchExit::Ended(error),
                // The poll that the balancer asks for is already under way. A new one would be
                // queued again behind those of other sidecars.
                () = sink.poll_requested(), if reason == PollReason::Early => {
                    reason = PollReason::Requested;
                }
                () = sink.poll_requested(), if reason == PollReason::Requested => {
                    return WatchExit::Superseded;
                }
                // The old address may go on to answer, without the changes that the new one has.
                () = wait_for_relocation(&mut self.discovery) => return WatchExit::Relocated,
            }
        }
    }

    /// Waits until discovery is to be polled again after a watch has ended.
    async fn next_poll(&mut self) -> PollReason {
        // The balancer's backoff may outlast the time for which the list still counts as fresh.
        let needs_immediate_poll = self.sink.freshness().needs_immediate_poll();
        let delay =
            self.limits.discovery.poll_retry_delay.mul_f64(
                MIN_RETRY_DELAY_FACTOR + (1.0 - MIN_RETRY_DELAY_FACTOR) * self.random.f64(),
            );
        tokio::select! {
            () = self.sink.poll_requested() => PollReason::Requested,
            () = wait_for_relocation(&mut self.discovery) => {
                self.on_discovery_relocated();
                PollReason::Early
            }
            () = sleep(delay), if needs_immediate_poll => PollReason::Early,
        }
    }

    fn on_watch_ended(&self, error: &WatchError) {
        tracing::warn!(%error, "discovery watch ended");
        let freshness = self.sink.freshness();
        match error {
            WatchError::WatchSilent { last_received_at } => {
                freshness.on_watch_silent(*last_received_at);
            }
            WatchError::PollFailed(error) if is_connection_refused(error) => {
                freshness.on_poll_refused();
            }
            WatchError::PollTimedOut => freshness.on_poll_abandoned(),
            _ => freshness.on_watch_ended(),
        }
        self.sink.on_watch_lost();
    }

    /// From now on the list counts as fresh for a bounded time, whether or not a poll gets through
    /// by then.
    fn on_discovery_relocated(&self) {
        self.sink.freshness().on_discovery_relocated();
    }
}

fn http_client(limits: &Limits) -> awc::Client {
    let connector = awc::Connector::new()
        .timeout(limits.discovery.poll_timeout)
        .conn_lifetime(limits.client.max_timeout);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// True where nobody listens at discovery's address.
fn is_connection_refused(error: &SendRequestError) -> bool {
    matches!(
        error,
        SendRequestError::Connect(ConnectError::Io(error))
            if error.kind() == std::io::ErrorKind::ConnectionRefused
    )
}

/// Waits until discovery is at another address; forever once no configuration can come.
async fn wait_for_relocation(discovery: &mut Receiver<SocketAddr>) {
    if discovery.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
