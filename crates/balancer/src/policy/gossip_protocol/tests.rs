use super::{GossipProtocol, PeerMessage};
use crate::fleet::Fleet;
use crate::policy::test_support::{FIRST, fleet, settings, settings_with_peers};
use crate::state::{GossipKind, GossipMessage};
use crate::{BalancerIdentity, Settings};

fn fleet_with_peers() -> Fleet {
    fleet(settings_with_peers(), 20)
}

fn message(kind: GossipKind, stable_hash: u64) -> GossipMessage {
    GossipMessage {
        kind,
        stable_hash,
        incarnation: 7,
    }
}

#[test]
fn three_other_balancers_are_asked_for_an_indirect_check() {
    let fleet = fleet_with_peers();
    let mut rng = fastrand::Rng::with_seed(1);
    let server = &fleet.servers[FIRST];
    let own = fleet.settings.identity.index;
    let requests: Vec<_> =
        GossipProtocol::request_indirect_checks(&fleet.settings, server, &mut rng).collect();
    assert_eq!(requests.len(), 3);
    assert!(
        requests
            .iter()
            .all(|request| request.to != own && request.to < 4)
    );
}

#[test]
fn balancer_without_others_asks_none_and_draws_nothing() {
    let fleet = fleet(settings(), 1);
    let mut rng = fastrand::Rng::with_seed(1);
    let server = &fleet.servers[FIRST];
    let requests =
        GossipProtocol::request_indirect_checks(&fleet.settings, server, &mut rng).count();
    assert_eq!(requests, 0);
    assert_eq!(rng, fastrand::Rng::with_seed(1));
}

#[test]
fn suspicion_goes_out_in_about_log_n_datagrams() {
    for (balancers, datagrams) in [(4, 4), (300, 10)] {
        let identity = BalancerIdentity {
            count: balancers,
            ..BalancerIdentity::default()
        };
        let settings = Settings {
            identity,
            ..settings_with_peers()
        };
        let fleet = fleet(settings, 1);
        let mut rng = fastrand::Rng::with_seed(1);
        let mut gossip = GossipProtocol::default();
        gossip.announce_suspicion(&fleet.settings, &fleet.servers[FIRST]);
        let sent = std::iter::from_fn(|| gossip.next_datagram(&fleet.settings, &mut rng)).count();
        assert_eq!(sent, datagrams, "{balancers} balancers");
    }
}

#[test]
fn datagram_holds_15_suspicions_at_most() {
    let fleet = fleet_with_peers();
    let mut gossip = GossipProtocol::default();
    for server in fleet.servers.iter() {
        gossip.announce_suspicion(&fleet.settings, server);
    }
    let mut rng = fastrand::Rng::with_seed(1);
    let datagram = gossip.next_datagram(&fleet.settings, &mut rng);
    let bytes = datagram.expect("suspicions are queued").bytes;
    assert_eq!(GossipMessage::decode(&bytes).count(), 15);
}

#[test]
fn fourth_request_to_check_a_server_is_one_too_many() {
    let mut fleet = fleet_with_peers();
    let request = message(GossipKind::IndirectCheckRequest, 0);
    for from in 1..4 {
        let asked = GossipProtocol::interpret(&fleet, request);
        assert_eq!(asked, PeerMessage::CheckServer(FIRST));
        let health_check = &mut fleet.servers[FIRST].health_check;
        health_check.on_indirect_check_requested(from);
    }
    let asked = GossipProtocol::interpret(&fleet, request);
    assert_eq!(asked, PeerMessage::TooManyRequests);
}

#[test]
fn message_names_its_server_by_hash_and_one_about_no_known_server_is_ignored() {
    let fleet = fleet_with_peers();
    let known = GossipProtocol::interpret(&fleet, message(GossipKind::Suspected, 0));
    let suspected = PeerMessage::Suspected {
        server: FIRST,
        incarnation: 7,
    };
    assert_eq!(known, suspected);
    let unknown = GossipProtocol::interpret(&fleet, message(GossipKind::Suspected, 99));
    assert_eq!(unknown, PeerMessage::UnknownServer);
}
