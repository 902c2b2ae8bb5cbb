//! What discovery may do to the rest of the sidecar: deliver endpoint lists, report what happens to
//! its polls and watches, and wait until the balancer wants the next poll.

use std::rc::Rc;

use arrowstand_balancer::UpdateKind;
use arrowstand_platform::EndpointList;

use crate::counters::Counters;
use crate::host::{BalancerHost, EndpointListFreshness};

/// Takes what discovery learns.
pub(crate) struct EndpointSink {
    host: Rc<BalancerHost>,
    freshness: Rc<EndpointListFreshness>,
    counters: Rc<Counters>,
}

impl EndpointSink {
    /// A sink that hands endpoint lists to that host.
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

    /// Waits until the balancer wants the endpoint list polled.
    pub(super) async fn poll_requested(&self) {
        self.host.poll_requested().await;
    }

    /// The events and questions that concern the age of the endpoint list.
    pub(super) fn freshness(&self) -> &EndpointListFreshness {
        &self.freshness
    }

    /// A list came, under a version that never falls.
    pub(super) fn on_list_received(&self, kind: UpdateKind, version: u64, list: &EndpointList) {
        self.freshness.on_watch_event();
        self.host.update_endpoints(kind, version, list);
    }

    /// An object came that is no endpoint list.
    pub(super) fn on_invalid_object(&self) {
        self.counters.endpoint_lines_skipped.add();
    }

    /// The watch is over and no other replaces it yet.
    pub(super) fn on_watch_lost(&self) {
        self.host.on_watch_lost();
    }
}
