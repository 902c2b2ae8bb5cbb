//! What balancers tell each other: suspicions, and indirect health checks.

use crate::policy::Balancer;
use crate::state::{GossipKind, GossipMessage, ServerIndex};
use crate::{Action, Actions, EjectionCause, Micros};

/// Suspicions in one message: as many as fit.
const MAX_SUSPICIONS_PER_MESSAGE: usize = 15;
/// Balancers asked to confirm a failed health check.
const INDIRECT_CHECKERS: usize = 3;
/// An attempt served within this time outweighs another balancer's suspicion.
const SERVED_OUTWEIGHS_GOSSIP: Micros = 500_000;

impl Balancer {
    /// Asks some balancers to check a server.
    pub(super) fn request_indirect_checks(
        &mut self,
        server_index: ServerIndex,
        actions: &mut Actions,
    ) {
        let message = self.fleet.servers[server_index]
            .gossip(GossipKind::IndirectCheckRequest)
            .encode();
        let checkers = (0..INDIRECT_CHECKERS).filter_map(|_| self.random_peer());
        actions.extend(checkers.map(|to| Action::SendGossip {
            to: Some(to),
            message: message.clone(),
        }));
    }

    /// Tells the balancers that asked for it of a successful health check; they wait no longer in any case.
    pub(super) fn answer_requesters(
        &mut self,
        server_index: ServerIndex,
        succeeded: bool,
        actions: &mut Actions,
    ) {
        let server = &mut self.fleet.servers[server_index];
        let requesters = server.health_check.take_requesters();
        let message = server.gossip(GossipKind::ConfirmedAlive);
        let answer = |to| Action::SendGossip {
            to: Some(to),
            message: message.encode(),
        };
        actions.extend(requesters.into_iter().filter(|_| succeeded).map(answer));
    }

    /// Queues the suspicion of a server for about log N datagrams, which reach all balancers.
    pub(super) fn queue_suspicion(&mut self, server_index: ServerIndex) {
        let datagrams = u32::BITS - self.fleet.settings.identity.count.leading_zeros() + 1;
        self.gossip.push(
            &self.fleet.servers[server_index].gossip(GossipKind::Suspected),
            datagrams,
        );
    }

    /// Another balancer, drawn at random.
    fn random_peer(&mut self) -> Option<u32> {
        let peer = self
            .fleet
            .settings
            .has_peers()
            .then(|| self.rng.u32(0..self.fleet.settings.identity.count - 1))?;
        Some(if peer >= self.fleet.settings.identity.index {
            peer + 1
        } else {
            peer
        })
    }

    /// One message to a random balancer with each scheduled health check, however many servers are suspected.
    pub(super) fn send_gossip(&mut self, actions: &mut Actions) {
        let to = self.random_peer();
        if to.is_some() && !self.gossip.is_empty() {
            let message = self.gossip.next_datagram(MAX_SUSPICIONS_PER_MESSAGE);
            actions.push(Action::SendGossip { to, message });
        }
    }

    /// Another balancer sent a message; what it says of unknown servers is ignored.
    pub(super) fn on_gossip_received(&mut self, from: u32, datagram: &[u8], actions: &mut Actions) {
        if from >= self.fleet.settings.identity.count {
            return;
        }
        for message in GossipMessage::decode(datagram) {
            let Some(server_index) = self.fleet.servers.find_by_hash(message.stable_hash) else {
                continue;
            };
            let health_check = &mut self.fleet.servers[server_index].health_check;
            match message.kind {
                GossipKind::IndirectCheckRequest
                    if health_check.requester_count() < INDIRECT_CHECKERS =>
                {
                    health_check.on_indirect_check_requested(from);
                    self.check_load(server_index, actions);
                }
                GossipKind::IndirectCheckRequest => {}
                GossipKind::ConfirmedAlive => health_check.on_confirmed_alive(),
                GossipKind::Suspected => {
                    self.on_suspicion(server_index, message.incarnation, actions)
                }
            }
        }
    }

    fn on_suspicion(
        &mut self,
        server_index: ServerIndex,
        incarnation: Micros,
        actions: &mut Actions,
    ) {
        let server = &self.fleet.servers[server_index];
        if incarnation < server.incarnation() || server.suspicion.is_suspected() {
            return;
        }
        let id = server.id();
        // One mistaken balancer must not empty the fleet: this one's own served attempts outweigh it.
        let doubtful = self.fleet.now < server.failures.last_served_at() + SERVED_OUTWEIGHS_GOSSIP;
        if !doubtful && self.eject(server_index, EjectionCause::Gossip, actions) {
            self.queue_suspicion(server_index);
        }
        self.check_soon(id);
    }
}
