//! What balancers that may talk tell each other.

use super::*;

/// Suspicions told in one message: as many as fit.
const MAX_SUSPICIONS_PER_MESSAGE: usize = 15;
/// Peers asked to confirm a failed probe.
const INDIRECT_CHECKERS: usize = 3;
/// A served request within this time outweighs a suspicion heard from a peer.
const SERVED_OUTWEIGHS_GOSSIP: Micros = 500_000;

impl Balancer {
    pub(super) fn request_indirect_checks(&mut self, i: usize, actions: &mut Actions) {
        for _ in 0..INDIRECT_CHECKERS {
            let to = self.random_peer();
            if to.is_some() {
                actions.push(Action::SendGossip { to, message: say(SAY_ASK, &self.servers[i]) });
            }
        }
    }

    /// One message to a random peer with each own probe, however much is suspected.
    pub(super) fn send_gossip(&mut self, actions: &mut Actions) {
        let to = self.random_peer();
        if to.is_none() || self.gossip.is_empty() {
            return;
        }
        actions.push(Action::SendGossip { to, message: self.gossip.next(MAX_SUSPICIONS_PER_MESSAGE) });
    }

    pub(super) fn on_gossip_received(&mut self, from: u32, message: &[u8], actions: &mut Actions) {
        if from >= self.settings.balancer_count {
            return;
        }
        for (what, name, incarnation) in unpack(message) {
            let named = |s: &ServerState| s.endpoint.stable_hash == name;
            let Some(i) = self.servers.iter().position(named) else { continue };
            let (now, server) = (self.now, &mut self.servers[i]);
            let id = server.endpoint.server;
            match what {
                SAY_ASK if server.indirect_check_requesters.len() < INDIRECT_CHECKERS => {
                    server.indirect_check_requesters.push(from);
                    self.check_load(i, actions);
                }
                SAY_REACHED => server.confirmed_alive = true,
                SAY_SUSPECT if incarnation >= server.incarnation() && server.suspicion.is_none() => {
                    // One mistaken peer must not empty the fleet: own served work outweighs it.
                    let doubt = now < server.last_served_at + SERVED_OUTWEIGHS_GOSSIP;
                    if !doubt && self.eject(i, SuspicionCause::Gossip, actions) {
                        self.queue_suspicion(i);
                    }
                    self.check_soon(id);
                }
                _ => {}
            }
        }
    }
}
