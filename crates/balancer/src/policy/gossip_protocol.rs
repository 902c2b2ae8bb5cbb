//! Gossip between balancers: indirect health checks and dissemination of suspicions.
//!
//! The protocol follows SWIM, as in the paper by Michael J. Freedman, "Democratizing Content
//! Distribution" (section 2.2.2). A balancer whose health check of a server fails asks a few random
//! balancers to check it (indirect checks). If none of them reaches the server either, it is
//! suspected. Suspicions are queued, and each scheduled health check sends one datagram of queued
//! records to a random balancer. A record is dropped from the queue after `floor(log2 N) + 2`
//! datagrams, which spread it to all `N` balancers with high probability. A suspicion of an older
//! incarnation of the server is ignored. Unlike in the paper, a server cannot refute a suspicion
//! itself; instead, a balancer ignores the suspicion while the server serves that balancer's
//! attempts.

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::state::{GossipKind, GossipQueue, GossipRecord, ServerIndex, ServerState};
use crate::{Action, Micros, Settings};

/// Maximum suspicions per datagram: 15 records of 17 bytes fit into a datagram of 256 bytes. If
/// more are queued, they are sent in rotation.
const MAX_SUSPICIONS_PER_DATAGRAM: usize = 15;
/// Number of balancers that are asked to confirm a failed health check, and the maximum number of
/// balancers that wait for an indirect check of one server at a time. With a larger fanout, such as
/// five, it is more likely that one of the balancers is not affected by a partial network failure,
/// but each failed check causes that many more health checks.
const INDIRECT_CHECK_FANOUT: usize = 3;

/// A gossip datagram and the balancer it is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Datagram {
    to: u32,
    bytes: Vec<u8>,
}

impl From<Datagram> for Action {
    fn from(datagram: Datagram) -> Self {
        Self::SendGossip {
            to: Some(datagram.to),
            message: datagram.bytes,
        }
    }
}

/// A received gossip record, resolved against the endpoint list and the limits of this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerRecord {
    /// The sender requests an indirect health check of a server.
    CheckServer(ServerIndex),
    /// The server answered a health check of the sender.
    ConfirmedAlive(ServerIndex),
    /// The sender suspects an incarnation of a server.
    Suspected {
        /// The server.
        server: ServerIndex,
        /// The suspected incarnation; 0 if the server started long ago.
        incarnation: Micros,
    },
    /// The server is not in the endpoint list; the record is ignored.
    UnknownServer,
    /// Too many balancers already wait for a check of the server; the request is ignored.
    RequesterLimitReached,
}

/// Builds outgoing gossip and interprets incoming gossip; owns the queue of suspicions to send.
#[derive(Default)]
pub(crate) struct GossipProtocol {
    queue: GossipQueue,
}

impl GossipProtocol {
    /// Requests indirect checks of a server from random balancers. Draws with replacement: the same
    /// balancer may be asked more than once.
    pub(crate) fn request_indirect_checks(
        settings: &Settings,
        server: &ServerState,
        rng: &mut fastrand::Rng,
    ) -> impl Iterator<Item = Datagram> {
        let bytes = server
            .gossip_record(GossipKind::IndirectCheckRequest)
            .encode();
        (0..INDIRECT_CHECK_FANOUT)
            .filter_map(move |_| random_peer(settings, rng))
            .map(move |to| Datagram {
                to,
                bytes: bytes.clone(),
            })
    }

    /// Tells the balancers that requested an indirect check that the server answered.
    pub(crate) fn confirm_alive(
        server: &ServerState,
        requesters: Vec<u32>,
    ) -> impl Iterator<Item = Datagram> {
        let record = server.gossip_record(GossipKind::ConfirmedAlive);
        requesters.into_iter().map(move |to| Datagram {
            to,
            bytes: record.encode(),
        })
    }

    /// Queues the suspicion of a server for `floor(log2 N) + 2` datagrams.
    pub(crate) fn queue_suspicion(&mut self, settings: &Settings, server: &ServerState) {
        let bit_length = u32::BITS - settings.identity.count.leading_zeros();
        self.queue
            .push(&server.gossip_record(GossipKind::Suspected), bit_length + 1);
    }

    /// Returns the datagram to send along with a scheduled health check, if suspicions are queued.
    /// If there are other balancers, a receiver is drawn even if the queue is empty.
    pub(crate) fn next_datagram(
        &mut self,
        settings: &Settings,
        rng: &mut fastrand::Rng,
    ) -> Option<Datagram> {
        let to = random_peer(settings, rng)?;
        if self.queue.is_empty() {
            return None;
        }
        let bytes = self.queue.next_datagram(MAX_SUSPICIONS_PER_DATAGRAM);
        Some(Datagram { to, bytes })
    }

    /// Returns true if `from` is the index of a balancer of this deployment.
    pub(crate) fn is_known_sender(settings: &Settings, from: u32) -> bool {
        from < settings.identity.count
    }

    /// Resolves a received record.
    pub(crate) fn interpret(fleet: &Fleet, record: GossipRecord) -> PeerRecord {
        let Some(server) = fleet.servers.find_by_hash(record.stable_hash) else {
            return PeerRecord::UnknownServer;
        };
        let requesters = fleet.servers[server].health_check.requester_count();
        match record.kind {
            GossipKind::IndirectCheckRequest if requesters < INDIRECT_CHECK_FANOUT => {
                PeerRecord::CheckServer(server)
            }
            GossipKind::IndirectCheckRequest => PeerRecord::RequesterLimitReached,
            GossipKind::ConfirmedAlive => PeerRecord::ConfirmedAlive(server),
            GossipKind::Suspected => PeerRecord::Suspected {
                server,
                incarnation: record.incarnation,
            },
        }
    }
}

/// Draws another balancer at random; `None` if there is no other balancer.
fn random_peer(settings: &Settings, rng: &mut fastrand::Rng) -> Option<u32> {
    if !settings.has_peers() {
        return None;
    }
    let drawn = rng.u32(0..settings.identity.count - 1);
    let is_own_or_above = drawn >= settings.identity.index;
    Some(if is_own_or_above { drawn + 1 } else { drawn })
}
