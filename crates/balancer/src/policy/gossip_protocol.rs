//! What balancers tell each other: suspicions, and health checks on each other's behalf.
//!
//! After SWIM, as in section 2.2.2 of the paper: a balancer whose health check of a server fails
//! asks a few random others to check it (indirect checks). What none of them can reach either is
//! suspected, and the suspicion goes out with later datagrams, one to a random balancer with each
//! scheduled health check; a record leaves the queue after `floor(log2 N) + 2` datagrams, which
//! spread it to all `N` balancers with high probability. A suspicion of an older incarnation of the
//! server is ignored. Unlike in the paper a server cannot refute a suspicion itself, so what each
//! balancer sees served outweighs it.

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::state::{GossipKind, GossipMessage, GossipQueue, ServerIndex, ServerState};
use crate::{Action, Micros, Settings};

/// Most suspicions in one datagram: 15 records of 17 bytes fit into a datagram of 256 bytes. With
/// more suspicions than this they take turns.
const MAX_SUSPICIONS_PER_DATAGRAM: usize = 15;
/// Balancers that are asked to confirm a failed health check, and most balancers that one server is
/// checked for at a time. More find a way around a partial network failure more often, and cost as
/// many more health checks. The first design names five; three is inherited with the first version
/// of the module.
const INDIRECT_CHECK_FANOUT: usize = 3;

/// A datagram to another balancer.
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

/// What a record of a datagram asks of this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerMessage {
    /// Check the health of a server for the sender.
    CheckServer(ServerIndex),
    /// The server answered the sender.
    ConfirmedAlive(ServerIndex),
    /// The sender suspects an incarnation of a server.
    Suspected {
        /// The server.
        server: ServerIndex,
        /// The incarnation, 0 for long ago.
        incarnation: Micros,
    },
    /// Nothing: the endpoint list does not name the server.
    UnknownServer,
    /// Nothing: enough balancers wait for a check of the server.
    RequesterLimitReached,
}

/// Decides what is sent to which balancer; owns the suspicions that still go out.
#[derive(Default)]
pub(crate) struct GossipProtocol {
    queue: GossipQueue,
}

impl GossipProtocol {
    /// Asks some random balancers to check a server; one that is drawn twice is asked twice.
    pub(crate) fn request_indirect_checks(
        settings: &Settings,
        server: &ServerState,
        rng: &mut fastrand::Rng,
    ) -> impl Iterator<Item = Datagram> {
        let bytes = server.gossip(GossipKind::IndirectCheckRequest).encode();
        (0..INDIRECT_CHECK_FANOUT)
            .filter_map(move |_| random_peer(settings, rng))
            .map(move |to| Datagram {
                to,
                bytes: bytes.clone(),
            })
    }

    /// Tells the balancers that asked for a check of a server that it answered.
    pub(crate) fn confirm_alive(
        server: &ServerState,
        requesters: Vec<u32>,
    ) -> impl Iterator<Item = Datagram> {
        let message = server.gossip(GossipKind::ConfirmedAlive);
        requesters.into_iter().map(move |to| Datagram {
            to,
            bytes: message.encode(),
        })
    }

    /// Queues the suspicion of a server for so many datagrams that it reaches all balancers.
    pub(crate) fn queue_suspicion(&mut self, settings: &Settings, server: &ServerState) {
        let log2_count_rounded = u32::BITS - settings.identity.count.leading_zeros();
        self.queue.push(
            &server.gossip(GossipKind::Suspected),
            log2_count_rounded + 1,
        );
    }

    /// The datagram that goes out with a scheduled health check, if there is anything to say. Draws
    /// its receiver in any case where there are other balancers.
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

    /// True where a datagram comes from a balancer of the deployment.
    pub(crate) fn is_known_sender(settings: &Settings, from: u32) -> bool {
        from < settings.identity.count
    }

    /// What a record asks of this balancer.
    pub(crate) fn interpret(fleet: &Fleet, message: GossipMessage) -> PeerMessage {
        let Some(server) = fleet.servers.find_by_hash(message.stable_hash) else {
            return PeerMessage::UnknownServer;
        };
        let requesters = fleet.servers[server].health_check.requester_count();
        match message.kind {
            GossipKind::IndirectCheckRequest if requesters < INDIRECT_CHECK_FANOUT => {
                PeerMessage::CheckServer(server)
            }
            GossipKind::IndirectCheckRequest => PeerMessage::RequesterLimitReached,
            GossipKind::ConfirmedAlive => PeerMessage::ConfirmedAlive(server),
            GossipKind::Suspected => PeerMessage::Suspected {
                server,
                incarnation: message.incarnation,
            },
        }
    }
}

/// Another balancer, drawn at random; `None` where there is none.
fn random_peer(settings: &Settings, rng: &mut fastrand::Rng) -> Option<u32> {
    if !settings.has_peers() {
        return None;
    }
    let drawn = rng.u32(0..settings.identity.count - 1);
    let is_own_or_above = drawn >= settings.identity.index;
    Some(if is_own_or_above { drawn + 1 } else { drawn })
}
