//! Handlers for endpoint list updates and gossip from other balancers.

use crate::balancer::Balancer;
use crate::policy::{FailureDetector, GossipProtocol, HealthAction, PeerRecord, UpdateFailure};
use crate::state::{GossipRecord, ServerIndex};
use crate::{Action, Actions, Endpoint, Micros, StateChange, UpdateKind};

impl Balancer {
    /// Polls the endpoint list and schedules the next poll in case there is no response.
    pub(super) fn poll_endpoints(&mut self, actions: &mut Actions) {
        actions.push(Action::PollEndpoints);
        self.policies
            .endpoint_poller
            .on_polled(self.fleet.now, &self.fleet.settings.polling);
    }

    fn on_update_failed(&mut self, actions: &mut Actions) {
        let polling = &self.fleet.settings.polling;
        let failure =
            self.policies
                .endpoint_poller
                .on_update_failed(self.fleet.now, polling, &mut self.rng);
        if failure == UpdateFailure::SubscriptionLost {
            actions.push(Action::Record(StateChange::EndpointListLost));
        }
    }

    /// Handles an endpoint list update or the loss of its source.
    pub(super) fn on_endpoints_updated(
        &mut self,
        kind: UpdateKind,
        version: u64,
        endpoints: Vec<Endpoint>,
        actions: &mut Actions,
    ) {
        if kind == UpdateKind::Lost {
            self.on_update_failed(actions);
            return;
        }
        if kind != UpdateKind::Cached {
            self.policies.endpoint_poller.on_list_received();
            self.fleet.servers.clear_possible_drains();
        }
        if !self.fleet.servers.accept_version(version) {
            return;
        }
        if kind != UpdateKind::Incremental {
            self.fleet.servers.mark_unlisted_as_removed(&endpoints);
        }
        self.merge_endpoints(endpoints, actions);
        self.fleet.remove_obsolete_servers();
        self.policies.subsetter.on_endpoints_updated(&self.fleet);
    }

    /// Merges endpoint list entries. A draining server becomes usable again only if it restarts:
    /// another status in a stale list does not suffice.
    fn merge_endpoints(&mut self, endpoints: Vec<Endpoint>, actions: &mut Actions) {
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

    /// Handles a newer incarnation of a server in the endpoint list.
    fn on_restart(&mut self, index: ServerIndex, actions: &mut Actions) {
        let now = self.fleet.now;
        let server = &mut self.fleet.servers[index];
        server.on_restarted(now, self.fleet.settings.slow_start.duration);
        let health_action = FailureDetector::evaluate_restart(now, server);
        self.apply_health_action(health_action, index, actions);
    }

    /// Handles a gossip datagram; datagrams from unknown balancers are ignored.
    pub(super) fn on_gossip_received(&mut self, from: u32, datagram: &[u8], actions: &mut Actions) {
        if !GossipProtocol::is_known_sender(&self.fleet.settings, from) {
            return;
        }
        for record in GossipRecord::decode(datagram) {
            match GossipProtocol::interpret(&self.fleet, record) {
                PeerRecord::CheckServer(index) => {
                    let server = &mut self.fleet.servers[index];
                    server.health_check.on_indirect_check_requested(from);
                    self.start_unscheduled_health_check(index, actions);
                }
                PeerRecord::ConfirmedAlive(index) => {
                    self.fleet.servers[index].health_check.on_confirmed_alive();
                }
                PeerRecord::Suspected {
                    server,
                    incarnation,
                } => {
                    self.on_peer_suspicion(server, incarnation, actions);
                }
                PeerRecord::UnknownServer | PeerRecord::RequesterLimitReached => {}
            }
        }
    }

    fn on_peer_suspicion(
        &mut self,
        index: ServerIndex,
        incarnation: Micros,
        actions: &mut Actions,
    ) {
        let server = &self.fleet.servers[index];
        let health_action = FailureDetector::evaluate_gossip(self.fleet.now, server, incarnation);
        self.apply_health_action(health_action, index, actions);
        if matches!(health_action, HealthAction::Eject { .. }) {
            self.expedite_check(index);
        }
    }
}
