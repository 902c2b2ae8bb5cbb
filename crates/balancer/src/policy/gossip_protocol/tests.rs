use super::{GossipProtocol, PeerMessage};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, fleet, settings, settings_with_peers};
use crate::state::{GossipKind, GossipMessage};

fn interpret(fleet: &Fleet, kind: GossipKind, stable_hash: u64) -> PeerMessage {
    let message = GossipMessage {
        kind,
        stable_hash,
        incarnation: 7,
    };
    GossipProtocol::interpret(fleet, message)
}

/// The balancers that are asked for an indirect check, and the generator after it.
fn checkers(fleet: &Fleet) -> (Vec<u32>, fastrand::Rng) {
    let mut rng = fastrand::Rng::with_seed(1);
    let server = &fleet.servers[FIRST];
    let requests = GossipProtocol::request_indirect_checks(&fleet.settings, server, &mut rng);
    (requests.map(|request| request.to).collect(), rng)
}

#[test]
fn three_other_balancers_are_asked_for_an_indirect_check() {
    let (checkers, _) = checkers(&fleet(settings_with_peers(), 1));
    assert_eq!(checkers.len(), 3);
    assert!(
        checkers.iter().all(|to| (1..4).contains(to)),
        "{checkers:?}"
    );
}

#[test]
fn balancer_without_others_asks_none_and_draws_nothing() {
    let (checkers, rng) = checkers(&fleet(settings(), 1));
    assert_eq!(checkers, []);
    assert_eq!(rng, fastrand::Rng::with_seed(1));
}

#[test]
fn suspicion_goes_out_in_about_log_n_datagrams() {
    for (balancers, datagrams) in [(4, 4), (300, 10)] {
        let mut fleet = fleet(settings_with_peers(), 1);
        fleet.settings.identity.count = balancers;
        let mut rng = fastrand::Rng::with_seed(1);
        let mut gossip = GossipProtocol::default();
        gossip.queue_suspicion(&fleet.settings, &fleet.servers[FIRST]);
        let sent = std::iter::from_fn(|| gossip.next_datagram(&fleet.settings, &mut rng)).count();
        assert_eq!(sent, datagrams, "{balancers} balancers");
    }
}

#[test]
fn datagram_holds_15_suspicions_at_most() {
    let fleet = fleet(settings_with_peers(), 20);
    let mut gossip = GossipProtocol::default();
    let servers = fleet.servers.iter();
    servers.for_each(|server| gossip.queue_suspicion(&fleet.settings, server));
    let mut rng = fastrand::Rng::with_seed(1);
    let datagram = gossip.next_datagram(&fleet.settings, &mut rng);
    let bytes = datagram.expect("suspicions are queued").bytes;
    assert_eq!(GossipMessage::decode(&bytes).count(), 15);
}

#[test]
fn fourth_request_to_check_a_server_is_one_too_many() {
    let mut fleet = fleet(settings_with_peers(), 1);
    for from in 1..4 {
        let asked = interpret(&fleet, GossipKind::IndirectCheckRequest, 0);
        assert_eq!(asked, PeerMessage::CheckServer(FIRST));
        let health_check = &mut fleet.servers[FIRST].health_check;
        health_check.on_indirect_check_requested(from);
    }
    let asked = interpret(&fleet, GossipKind::IndirectCheckRequest, 0);
    assert_eq!(asked, PeerMessage::RequesterLimitReached);
}

#[test]
fn message_names_its_server_by_hash_and_one_about_no_known_server_is_ignored() {
    let fleet = fleet(settings_with_peers(), 1);
    let suspected = PeerMessage::Suspected {
        server: FIRST,
        incarnation: 7,
    };
    assert_eq!(interpret(&fleet, GossipKind::Suspected, 0), suspected);
    let unknown = interpret(&fleet, GossipKind::Suspected, 99);
    assert_eq!(unknown, PeerMessage::UnknownServer);
}
