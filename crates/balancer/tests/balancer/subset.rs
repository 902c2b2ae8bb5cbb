//! The subset of the fleet that a balancer uses.

use std::collections::BTreeSet;

use crate::common::{Driver, MS, endpoint, endpoint_changed, settings};
use arrowstand_balancer::{BalancerIdentity, Fees, Micros, ServerId, Settings};

#[test]
fn costly_connections_keep_each_balancer_to_a_small_stable_subset() {
    let mut all = vec![0; 64];
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
        assert_eq!(cells.len(), first.len(), "one of each cell");
        for &n in &first {
            all[n as usize] += 1;
        }
        driver.handle(endpoint_changed(endpoint(64)));
        let kept = driver
            .servers_in_use_at_low_rate()
            .iter()
            .filter(|n| first.contains(n))
            .count();
        assert!(kept + 1 >= first.len());
    }
    assert!(all.iter().all(|&users| (2..30).contains(&users)), "{all:?}");
}

#[test]
fn suspected_server_is_replaced_from_outside_the_subset() {
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

/// Servers in use by a balancer with a request at each pause, before 60 servers.
fn subset_of_sixty(fee: f64, pause: Micros, seed: u64) -> BTreeSet<u32> {
    let fees = Settings {
        fees: Fees {
            handshake: fee,
            ..settings().fees
        },
        identity: BalancerIdentity {
            index: seed as u32,
            count: 100,
            ..settings().identity
        },
        ..settings()
    };
    let mut driver = Driver::with_seed(fees, 60, seed);
    let mut serve = || {
        driver.now += pause;
        driver.serve(0).0
    };
    for _ in 0..300 {
        serve();
    }
    (0..300).map(|_| serve()).collect()
}

#[test]
fn costly_handshakes_keep_a_quiet_balancer_to_few_servers_and_let_a_busy_one_spread() {
    let quiet = subset_of_sixty(0.08, 50 * MS, 1).len();
    let busy = subset_of_sixty(0.08, 0, 1).len();
    assert!(
        (4..=10).contains(&quiet) && busy > 2 * quiet,
        "{quiet} {busy}"
    );
    assert!(subset_of_sixty(0.0, 50 * MS, 1).len() >= 24);
}

/// The figure for the fleet: connections that all balancers together keep open to one server. It
/// follows the requests that the server gets, not the number of balancers, but for the smallest
/// subset of each.
#[test]
fn hundred_quiet_balancers_spread_their_subsets_over_all_servers() {
    let mut users = [0; 60];
    for seed in 0..100 {
        for n in subset_of_sixty(0.08, 80 * MS, seed) {
            users[n as usize] += 1;
        }
    }
    let (least, most) = (
        users.iter().min().expect("60"),
        users.iter().max().expect("60"),
    );
    assert!(*least >= 1 && *most <= 20, "{users:?}");
}
