//! Following the endpoint list: when to poll for it, and which servers it leaves.

use crate::policy::Balancer;
use crate::{Action, Actions, Endpoint, Micros, StateChange, UpdateKind};

/// First pause before the list is polled again, and its growth, up to half the longest interval. Guards
/// against many balancers that keep discovery saturated: it handles a few calls a second, whoever polls.
const INITIAL_POLL_BACKOFF: Micros = 200_000;
const POLL_BACKOFF_GROWTH: Micros = 3;

impl Balancer {
    /// Polls the endpoint list; without any response it is polled again in good time.
    pub(super) fn poll_endpoints(&mut self, actions: &mut Actions) {
        actions.push(Action::PollEndpoints);
        self.poller
            .on_polled(self.fleet.now + self.fleet.settings.polling.max_interval * 3 / 4);
    }

    fn on_list_lost(&mut self, actions: &mut Actions) {
        if self.poller.is_subscribed() {
            actions.push(Action::Record(StateChange::EndpointListLost));
        }
        let backoff = self.poller.backoff().unwrap_or(INITIAL_POLL_BACKOFF);
        let next_poll_at = self.fleet.now + backoff / 2 + self.rng.u64(0..=backoff);
        let next_backoff =
            (POLL_BACKOFF_GROWTH * backoff).min(self.fleet.settings.polling.max_interval / 2);
        self.poller.on_list_lost(next_poll_at, next_backoff);
    }

    /// An update of the endpoint list came, or was lost.
    pub(super) fn on_endpoints_updated(
        &mut self,
        kind: UpdateKind,
        version: u64,
        endpoints: Vec<Endpoint>,
        actions: &mut Actions,
    ) {
        if kind == UpdateKind::Lost {
            self.on_list_lost(actions);
            return;
        }
        if kind != UpdateKind::Cached {
            self.poller.on_list_received();
            self.fleet.servers.on_list_received();
        }
        if !self.fleet.servers.accept_version(version) {
            return;
        }
        if kind != UpdateKind::Incremental {
            self.fleet.servers.on_full_list(&endpoints);
        }
        self.merge(endpoints, actions);
        let keep_removed = self.fleet.settings.only_draining_binds;
        self.fleet.servers.retain(|server| {
            let gone = server.is_removed() && server.in_flight().is_empty();
            !gone || (keep_removed && !server.suspicion.is_dead() && !server.is_drain_listed())
        });
        self.subset_order
            .on_endpoints_updated(&self.fleet.servers, self.fleet.settings.identity.index);
    }

    /// A stale list never restores a draining server: only a restart does.
    fn merge(&mut self, endpoints: Vec<Endpoint>, actions: &mut Actions) {
        for endpoint in endpoints {
            let merged = self.fleet.servers.merge(
                endpoint,
                self.fleet.now,
                self.fleet.settings.slow_start.duration,
            );
            if merged.restarted {
                self.on_restart(merged.server_index, actions);
            }
            self.fleet.servers[merged.server_index].on_status_listed(endpoint.status);
        }
    }
}
