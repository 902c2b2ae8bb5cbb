//! Size, stability and spread of the subset of the fleet that a balancer uses.

use std::collections::BTreeSet;

use crate::common::{Driver, MS, endpoint, endpoint_changed, settings};
use arrowstand_balancer::{BalancerIdentity, Fees, Micros, ServerId, Settings};

#[test]
fn costly_connections_limit_each_balancer_to_a_small_and_stable_subset() {
    let mut balancer_counts = vec![0; 64];
    for index in 0..200 {
        let settings = Settings {
            fees: Fees {
                connection: 0.05,
                ..settings().fees
            },
            identity: BalancerIdentity {
                count: 320,
                index,
                ..settings().identity
            },
            ..settings()
        };
        let mut driver = Driver::new(settings, 64);
        let first = driver.servers_in_use_at_low_rate();
        assert!((3..=5).contains(&first.len()), "{first:?}");
        let mut cells: Vec<u32> = first.iter().map(|n| n / 2).collect();
        cells.dedup();
        assert_eq!(cells.len(), first.len(), "two servers of one cell");
        for &n in &first {
            balancer_counts[n as usize] += 1;
        }
        driver.handle(endpoint_changed(endpoint(64)));
        let kept = driver
            .servers_in_use_at_low_rate()
            .iter()
            .filter(|n| first.contains(n))
            .count();
        assert!(kept + 1 >= first.len());
    }
    assert!(
        balancer_counts
            .iter()
            .all(|&balancers| (2..30).contains(&balancers)),
        "{balancer_counts:?}"
    );
}

#[test]
fn suspected_server_is_replaced_by_one_from_outside_the_subset() {
    let settings = Settings {
        fees: Fees {
            connection: 0.05,
            ..settings().fees
        },
        identity: BalancerIdentity {
            count: 320,
            ..settings().identity
        },
        ..settings()
    };
    let mut driver = Driver::new(settings, 64);
    let first = driver.servers_in_use();
    driver.fail_health_checks(ServerId(first[0]));
    let next = driver.servers_in_use();
    assert!(!next.contains(&first[0]) && next.len() >= first.len());
}

/// Returns the servers that a balancer sends 300 requests to in a fleet of 60, after 300 requests
/// that establish its request rate. Each request arrives `interval` after the last response.
fn subset_of_sixty_servers(handshake_fee: f64, interval: Micros, seed: u64) -> BTreeSet<u32> {
    let settings_with_handshake_fee = Settings {
        fees: Fees {
            handshake: handshake_fee,
            ..settings().fees
        },
        identity: BalancerIdentity {
            index: seed as u32,
            count: 100,
            ..settings().identity
        },
        ..settings()
    };
    let mut driver = Driver::with_seed(settings_with_handshake_fee, 60, seed);
    let mut serve = || {
        driver.now += interval;
        driver.serve(0).0
    };
    for _ in 0..300 {
        serve();
    }
    (0..300).map(|_| serve()).collect()
}

#[test]
fn subset_grows_with_the_request_rate_if_handshakes_are_costly() {
    let at_low_rate = subset_of_sixty_servers(0.08, 50 * MS, 1).len();
    let at_high_rate = subset_of_sixty_servers(0.08, 0, 1).len();
    assert!(
        (4..=10).contains(&at_low_rate) && at_high_rate > 2 * at_low_rate,
        "{at_low_rate} {at_high_rate}"
    );
    assert!(subset_of_sixty_servers(0.0, 50 * MS, 1).len() >= 24);
}

/// Limits the connections that all balancers together keep open to one server. Their number depends
/// on the requests that the server gets and not on the number of balancers, apart from the minimum
/// subset size.
#[test]
fn subsets_of_100_balancers_with_low_request_rates_spread_over_all_servers() {
    let mut balancer_counts = [0; 60];
    for seed in 0..100 {
        for n in subset_of_sixty_servers(0.08, 80 * MS, seed) {
            balancer_counts[n as usize] += 1;
        }
    }
    let (least, most) = (
        balancer_counts.iter().min().expect("60 servers"),
        balancer_counts.iter().max().expect("60 servers"),
    );
    assert!(*least >= 1 && *most <= 20, "{balancer_counts:?}");
}
