//! Following the endpoint list: when to poll for it, and which servers it leaves.

use crate::policy::Balancer;
use crate::policy::endpoint_poller::ListLoss;
use crate::{Action, Actions, Endpoint, StateChange, UpdateKind};

impl Balancer {
    /// Polls the endpoint list; without any response it is polled again in good time.
    pub(super) fn poll_endpoints(&mut self, actions: &mut Actions) {
        actions.push(Action::PollEndpoints);
        self.endpoint_poller
            .on_polled(self.fleet.now, &self.fleet.settings.polling);
    }

    fn on_list_lost(&mut self, actions: &mut Actions) {
        let polling = &self.fleet.settings.polling;
        let loss = self
            .endpoint_poller
            .on_list_lost(self.fleet.now, polling, &mut self.rng);
        if loss == ListLoss::SubscriptionBroke {
            actions.push(Action::Record(StateChange::EndpointListLost));
        }
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
            self.endpoint_poller.on_list_received();
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
        self.subsetter.on_endpoints_updated(&self.fleet);
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
