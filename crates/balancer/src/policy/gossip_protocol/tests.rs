use super::{GossipProtocol, PeerRecord};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, fleet, settings, settings_with_peers};
use crate::state::{GossipKind, GossipRecord};

fn interpret(fleet: &Fleet, kind: GossipKind, stable_hash: u64) -> PeerRecord {
    let record = GossipRecord {
        kind,
        stable_hash,
        incarnation: 7,
    };
    GossipProtocol::interpret(fleet, record)
}

/// The balancers asked for an indirect check, and the state of the generator afterwards.
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
fn balancer_without_peers_sends_no_request_and_draws_no_random_number() {
    let (checkers, rng) = checkers(&fleet(settings(), 1));
    assert_eq!(checkers, []);
    assert_eq!(rng, fastrand::Rng::with_seed(1));
}

#[test]
fn suspicion_is_sent_in_floor_log2_n_plus_2_datagrams() {
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
fn datagram_holds_at_most_15_suspicions() {
    let fleet = fleet(settings_with_peers(), 20);
    let mut gossip = GossipProtocol::default();
    let servers = fleet.servers.iter();
    servers.for_each(|server| gossip.queue_suspicion(&fleet.settings, server));
    let mut rng = fastrand::Rng::with_seed(1);
    let datagram = gossip.next_datagram(&fleet.settings, &mut rng);
    let bytes = datagram.expect("suspicions are queued").bytes;
    assert_eq!(GossipRecord::decode(&bytes).count(), 15);
}

#[test]
fn fourth_indirect_check_request_for_a_server_exceeds_the_limit() {
    let mut fleet = fleet(settings_with_peers(), 1);
    for from in 1..4 {
        let asked = interpret(&fleet, GossipKind::IndirectCheckRequest, 0);
        assert_eq!(asked, PeerRecord::CheckServer(FIRST));
        let health_check = &mut fleet.servers[FIRST].health_check;
        health_check.on_indirect_check_requested(from);
    }
    let asked = interpret(&fleet, GossipKind::IndirectCheckRequest, 0);
    assert_eq!(asked, PeerRecord::RequesterLimitReached);
}

#[test]
fn message_identifies_its_server_by_hash_and_is_ignored_for_an_unknown_server() {
    let fleet = fleet(settings_with_peers(), 1);
    let suspected = PeerRecord::Suspected {
        server: FIRST,
        incarnation: 7,
    };
    assert_eq!(interpret(&fleet, GossipKind::Suspected, 0), suspected);
    let unknown = interpret(&fleet, GossipKind::Suspected, 99);
    assert_eq!(unknown, PeerRecord::UnknownServer);
}
