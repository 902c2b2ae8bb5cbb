//! Interface of the discovery client to the rest of the sidecar: it delivers endpoint lists,
//! reports the events of polls and watches, and waits for the balancer's poll requests.

use std::rc::Rc;

use arrowstand_balancer::UpdateKind;
use arrowstand_control::list_freshness::PollFailure;
use arrowstand_platform::EndpointList;
use tokio::time::Instant;

use crate::counters::Counters;
use crate::host::{BalancerHost, EndpointListFreshness};

/// Receiver of endpoint lists and of the events of polls and watches.
pub(crate) struct EndpointSink {
    host: Rc<BalancerHost>,
    freshness: Rc<EndpointListFreshness>,
    counters: Rc<Counters>,
}

impl EndpointSink {
    /// Creates a sink that passes endpoint lists to `host`.
    pub(crate) fn new(
        host: Rc<BalancerHost>,
        freshness: Rc<EndpointListFreshness>,
        counters: Rc<Counters>,
    ) -> Self {
        Self {
            host,
            freshness,
            counters,
        }
    }

    /// Waits until the balancer requests a poll of the endpoint list.
    pub(super) async fn poll_requested(&self) {
        self.host.poll_requested().await;
    }

    /// The freshness of the endpoint list.
    pub(super) fn list_freshness(&self) -> &EndpointListFreshness {
        &self.freshness
    }

    /// Records the start of a poll: a call that opens a watch.
    pub(super) fn on_poll_started(&self) {
        self.counters.polls_started.inc();
        self.freshness.on_poll_started();
    }

    /// Records that the poll that started at `started_at` failed.
    pub(super) fn on_poll_failed(&self, failure: PollFailure, started_at: Instant) {
        self.counters.polls_failed.inc();
        self.freshness.on_poll_failed(failure, started_at);
    }

    /// Records that discovery, which accepted a poll, makes it wait.
    pub(super) fn on_poll_delayed(&self) {
        self.counters.polls_delayed.inc();
        self.freshness.on_poll_delayed();
    }

    /// Passes on a received list. `version` must not decrease.
    pub(super) fn on_list_received(&self, kind: UpdateKind, version: u64, list: &EndpointList) {
        self.freshness.on_watch_event();
        self.host.update_endpoints(kind, version, list);
    }

    /// Counts deltas that are not passed on by themselves, because they are merged into another.
    pub(super) fn on_deltas_merged(&self, count: usize) {
        self.counters.endpoint_updates.add(count);
    }

    /// Counts an object that is not a valid endpoint list.
    pub(super) fn on_invalid_object(&self) {
        self.counters.endpoint_lines_skipped.inc();
    }

    /// Reports that the watch has ended and no other has replaced it yet.
    pub(super) fn on_watch_lost(&self) {
        self.host.on_watch_lost();
    }
}
