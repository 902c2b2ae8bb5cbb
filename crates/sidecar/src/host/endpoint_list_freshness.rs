//! For how long the endpoint list may be trusted, on the balancer's clock.
//!
//! Discovery reports what happens to its polls and watches; the check before an attempt's first
//! byte asks whether a drain may have been missed. The rules are those of [`ListFreshness`].

use std::cell::Cell;
use std::rc::Rc;

use arrowstand_balancer::Micros;
use arrowstand_control::list_freshness::{ListFreshness, StalenessBounds};
use tokio::time::Instant;

use super::clock::BalancerClock;
use super::server::Server;

/// The age of the endpoint list, shared by the side that delivers it and the side that rests on it.
pub(crate) struct EndpointListFreshness {
    freshness: Cell<ListFreshness>,
    clock: Rc<BalancerClock>,
}

impl EndpointListFreshness {
    /// The freshness of a list as old as the clock.
    pub(crate) fn new(bounds: StalenessBounds, clock: Rc<BalancerClock>) -> Self {
        let freshness = ListFreshness::new(bounds, clock.unix_time_at_start());
        Self {
            freshness: Cell::new(freshness),
            clock,
        }
    }

    /// A poll of discovery starts.
    pub(crate) fn on_poll_started(&self) {
        self.update(ListFreshness::on_poll_started);
    }

    /// Nobody listened at discovery's address.
    pub(crate) fn on_poll_refused(&self) {
        self.update(ListFreshness::on_poll_refused);
    }

    /// A poll was given up before its response, by its timeout or for another poll.
    pub(crate) fn on_poll_abandoned(&self) {
        self.update(|freshness, _| freshness.on_poll_abandoned());
    }

    /// A list or a heartbeat came.
    pub(crate) fn on_watch_event(&self) {
        self.update(|freshness, _| freshness.on_watch_event());
    }

    /// A watch brought nothing since that instant, and counts as lost.
    pub(crate) fn on_watch_silent(&self, last_received_at: Instant) {
        let last_received_at = self.clock.micros_at(last_received_at);
        self.update(|freshness, now| freshness.on_watch_silent(last_received_at, now));
    }

    /// A watch ended, or failed other than by silence.
    pub(crate) fn on_watch_ended(&self) {
        self.update(ListFreshness::on_watch_ended);
    }

    /// Discovery is at another address from now on.
    pub(crate) fn on_discovery_relocated(&self) {
        self.update(ListFreshness::on_discovery_relocated);
    }

    /// True where the list would be stale before the balancer's own backoff lets it poll again.
    pub(crate) fn needs_immediate_poll(&self) -> bool {
        self.freshness.get().needs_immediate_poll()
    }

    /// True where the list is so old that the server may be draining without the list showing it.
    pub(crate) fn is_stale_for(&self, server: &Server) -> bool {
        let last_served_start = server.last_served_start();
        self.freshness
            .get()
            .trusted_until(last_served_start)
            .is_some_and(|until| self.clock.now() >= until)
    }

    fn update(&self, update: impl FnOnce(&mut ListFreshness, Micros)) {
        let mut freshness = self.freshness.get();
        update(&mut freshness, self.clock.now());
        self.freshness.set(freshness);
    }
}
