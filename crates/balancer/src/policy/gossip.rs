//! What balancers that may talk tell each other.

use super::*;

/// Suspicions told in one message: as many as fit.
const GOSSIP_LINES: usize = 15;
/// Peers asked to confirm a failed probe.
const INTERMEDIATES: usize = 3;
/// A served request within this time outweighs a suspicion heard from a peer.
const GOSSIP_DOUBT: Micros = 500_000;

impl Balancer {
    pub(super) fn ask_peers(&mut self, i: usize, acts: &mut Actions) {
        for _ in 0..INTERMEDIATES {
            let to = self.random_peer();
            if to.is_some() {
                acts.push(Action::SendGossip { to, message: say(SAY_ASK, &self.servers[i]) });
            }
        }
    }

    /// One message to a random peer with each own probe, however much is suspected.
    pub(super) fn send_gossip(&mut self, acts: &mut Actions) {
        let to = self.random_peer();
        if to.is_none() || self.gossip.is_empty() {
            return;
        }
        acts.push(Action::SendGossip { to, message: self.gossip.next(GOSSIP_LINES) });
    }

    pub(super) fn on_peer(&mut self, from: u32, message: &[u8], acts: &mut Actions) {
        if from >= self.settings.balancer_count {
            return;
        }
        for (what, name, incarnation) in unpack(message) {
            let named = |s: &Server| s.member.stable_hash == name;
            let Some(i) = self.servers.iter().position(named) else { continue };
            let (now, server) = (self.now, &mut self.servers[i]);
            let id = server.member.server;
            match what {
                SAY_ASK if server.askers.len() < INTERMEDIATES => {
                    server.askers.push(from);
                    self.glance(i, acts);
                }
                SAY_REACHED => server.reached = true,
                SAY_SUSPECT if incarnation >= server.incarnation() && server.suspicion.is_none() => {
                    // One mistaken peer must not empty the fleet: own served work outweighs it.
                    let doubt = now < server.served + GOSSIP_DOUBT;
                    if !doubt && self.suspect(i, Cause::Gossip, acts) {
                        self.spread(i);
                    }
                    self.probe_soon(id);
                }
                _ => {}
            }
        }
    }
}
