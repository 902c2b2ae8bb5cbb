//! Tracks how long the endpoint list can be trusted, on the balancer's clock.
//!
//! Discovery reports the events of its polls and watches. The check before an attempt's first byte
//! queries whether the list may be missing a drain. [`ListFreshness`] defines the rules.

use std::cell::Cell;
use std::rc::Rc;

use arrowstand_balancer::Micros;
use arrowstand_control::list_freshness::{ListFreshness, NextPoll, PollFailure, StalenessBounds};
use tokio::time::Instant;

use super::clock::BalancerClock;
use super::server::Server;

/// Freshness of the endpoint list, shared by discovery, which updates it, and by the upstream side,
/// which queries it.
pub(crate) struct EndpointListFreshness {
    freshness: Cell<ListFreshness>,
    clock: Rc<BalancerClock>,
}

impl EndpointListFreshness {
    /// Creates the state at process start; the clock's start counts as the time of the list.
    pub(crate) fn new(bounds: StalenessBounds, clock: Rc<BalancerClock>) -> Self {
        let freshness = ListFreshness::new(bounds, clock.unix_time_at_start());
        Self {
            freshness: Cell::new(freshness),
            clock,
        }
    }

    /// Records the start of a poll of discovery.
    pub(crate) fn on_poll_started(&self) {
        self.update(ListFreshness::on_poll_started);
    }

    /// Records that discovery, which accepted a poll, makes it wait.
    pub(crate) fn on_poll_delayed(&self) {
        self.update(|freshness, _| freshness.on_poll_delayed());
    }

    /// Records that the poll that started at `started_at` failed.
    pub(crate) fn on_poll_failed(&self, failure: PollFailure, started_at: Instant) {
        let started_at = self.clock.micros_at(started_at);
        self.update(|freshness, now| freshness.on_poll_failed(failure, started_at, now));
    }

    /// Records a list or a heartbeat.
    pub(crate) fn on_watch_event(&self) {
        self.update(ListFreshness::on_watch_event);
    }

    /// Records that a watch was given up because nothing was received after `last_received_at`.
    pub(crate) fn on_watch_silent(&self, last_received_at: Instant) {
        let last_received_at = self.clock.micros_at(last_received_at);
        self.update(|freshness, now| freshness.on_watch_silent(last_received_at, now));
    }

    /// Records that a watch was given up because what it delivered could not be read.
    pub(crate) fn on_unreadable_event(&self) {
        self.update(ListFreshness::on_unreadable_event);
    }

    /// Records that an open watch ended or failed for a reason other than silence.
    pub(crate) fn on_watch_ended(&self) {
        self.update(ListFreshness::on_watch_ended);
    }

    /// Records that discovery's address has changed.
    pub(crate) fn on_discovery_relocated(&self) {
        self.update(ListFreshness::on_discovery_relocated);
    }

    /// When discovery must be polled again without a watch, whatever the balancer's backoff.
    pub(crate) fn next_poll(&self) -> Option<NextPoll> {
        self.freshness.get().next_poll(self.clock.now())
    }

    /// True if the list is so old that the server may be draining without the list showing it.
    pub(crate) fn is_stale_for(&self, server: &Server) -> bool {
        let last_served_sent_at = server.last_served_sent_at();
        self.freshness
            .get()
            .trusted_until(last_served_sent_at)
            .is_some_and(|until| self.clock.now() >= until)
    }

    fn update(&self, update: impl FnOnce(&mut ListFreshness, Micros)) {
        let mut freshness = self.freshness.get();
        update(&mut freshness, self.clock.now());
        self.freshness.set(freshness);
    }
}
