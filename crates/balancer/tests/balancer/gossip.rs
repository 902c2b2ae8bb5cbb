//! Gossip between balancers: indirect health checks and suspicions.

use crate::common::{
    Driver, MS, checked_servers, endpoint, endpoint_changed, gossip_messages, has_ejection,
    settings_with_peers,
};
use arrowstand_balancer::{
    BalancerIdentity, Endpoint, Event, Fees, Micros, Outcome, ServerId, Settings, UpdateKind,
};

/// Returns the message in which a balancer gossips its suspicion of server 0, after a failed health
/// check that no other balancer contradicted.
fn suspicion_message(incarnation: Option<Micros>) -> Vec<u8> {
    let mut driver = Driver::new(settings_with_peers(), 6);
    driver.handle(endpoint_changed(Endpoint {
        incarnation,
        ..endpoint(0)
    }));
    let check_requests = gossip_messages(&driver.end_health_check(ServerId(0), Outcome::TimedOut));
    gossip_messages(&driver.advance(3_000 * MS))
        .into_iter()
        .find(|message| message[0] != check_requests[0][0])
        .expect("the suspicion is gossiped")
}

#[test]
fn one_message_per_health_check_carries_several_suspicions() {
    let mut driver = Driver::new(
        Settings {
            fees: Fees {
                health_check: 0.0,
                ..settings_with_peers().fees
            },
            ..settings_with_peers()
        },
        60,
    );
    (0..8).for_each(|n| drop(driver.fail_health_checks(ServerId(n))));
    let messages = gossip_messages(&driver.advance(5_000 * MS));
    // In 5 s, at most 20 scheduled health checks, each with one message of suspicions and three
    // requests for indirect checks.
    assert!(!messages.is_empty() && messages.len() <= 20 + 3 * 20);
    // A record has 17 bytes; a message has at most 256.
    assert!(
        messages
            .iter()
            .any(|message| message.len() > 17 && message.len() <= 256)
    );
}

#[test]
fn suspicion_is_kept_but_not_gossiped_if_an_indirect_check_succeeds() {
    let confirmation = {
        let mut peer = Driver::new(
            Settings {
                identity: BalancerIdentity {
                    index: 1,
                    ..settings_with_peers().identity
                },
                ..settings_with_peers()
            },
            6,
        );
        let mut requester = Driver::new(settings_with_peers(), 6);
        let request =
            gossip_messages(&requester.end_health_check(ServerId(0), Outcome::TimedOut)).remove(0);
        let started = peer.handle(Event::GossipReceived {
            from: 0,
            message: request,
        });
        assert_eq!(checked_servers(&started), [ServerId(0)]);
        gossip_messages(&peer.end_health_check(ServerId(0), Outcome::Served)).remove(0)
    };
    let mut driver = Driver::new(settings_with_peers(), 6);
    driver.end_health_check(ServerId(0), Outcome::TimedOut);
    driver.handle(Event::GossipReceived {
        from: 1,
        message: confirmation,
    });
    let later = driver.advance(400 * MS);
    assert!(has_ejection(&later));
    assert!(gossip_messages(&later).is_empty());
}

#[test]
fn suspicion_of_an_older_incarnation_is_ignored() {
    // Known incarnation, incarnation that another balancer suspects, and whether the server is
    // ejected.
    let cases = [
        (None, None, true),
        (Some(5), Some(5), true),
        (Some(5), Some(7), true),
        (Some(7), Some(5), false),
    ];
    for (known, suspected, ejected) in cases {
        let message = suspicion_message(suspected);
        let mut driver = Driver::new(settings_with_peers(), 6);
        driver.handle(endpoint_changed(Endpoint {
            incarnation: known,
            ..endpoint(0)
        }));
        let actions = driver.handle(Event::GossipReceived { from: 2, message });
        assert_eq!(has_ejection(&actions), ejected, "{known:?} {suspected:?}");
    }
}

#[test]
fn gossiped_suspicion_of_a_server_that_served_recently_only_triggers_a_health_check() {
    let mut driver = Driver::new(settings_with_peers(), 1);
    let endpoints = (0..6).map(endpoint).collect();
    driver.handle(Event::EndpointsUpdated {
        kind: UpdateKind::Full,
        version: 2,
        endpoints,
    });
    driver.servers_in_use();
    let actions = driver.handle(Event::GossipReceived {
        from: 2,
        message: suspicion_message(None),
    });
    assert!(!has_ejection(&actions));
    assert!(checked_servers(&driver.advance(250 * MS)).contains(&ServerId(0)));
}

#[test]
fn malformed_gossip_is_ignored() {
    let mut driver = Driver::new(settings_with_peers(), 4);
    for message in [vec![], vec![2], vec![2; 16], vec![2; 17], vec![9; 40]] {
        assert!(
            driver
                .handle(Event::GossipReceived { from: 77, message })
                .is_empty()
        );
    }
}
