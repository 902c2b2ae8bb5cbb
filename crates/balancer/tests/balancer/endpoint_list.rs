//! Following the endpoint list.

use crate::common::{
    Driver, MS, endpoint, endpoint_changed, sent_to, settings, settings_with_polling,
};
use arrowstand_balancer::{
    Action, Endpoint, EndpointStatus, Event, Outcome, ServerId, Settings, UpdateKind,
};

#[test]
fn lost_list_is_polled_again_within_the_longest_interval() {
    let mut driver = Driver::new(settings_with_polling(), 4);
    for _ in 0..8 {
        driver.handle(Event::EndpointsUpdated {
            kind: UpdateKind::Lost,
            version: 0,
            endpoints: vec![],
        });
        // The longest pause is three quarters of the ten seconds that are allowed.
        assert!(driver.advance(7_550 * MS).contains(&Action::PollEndpoints));
    }
}

/// `crates/sidecar/src/limits.rs` counts on this pause (`MAX_POLL_PAUSE`).
#[test]
fn lost_list_is_first_polled_again_within_a_third_of_a_second() {
    for seed in 0..400 {
        let mut driver = Driver::with_seed(settings_with_polling(), 4, seed);
        driver.handle(Event::EndpointsUpdated {
            kind: UpdateKind::Lost,
            version: 0,
            endpoints: vec![],
        });
        assert!(
            driver.advance(325 * MS).contains(&Action::PollEndpoints),
            "seed {seed}"
        );
    }
}

/// Over loads and numbers of servers: at most one request goes to a draining server while the list
/// is lost, and a server that is listed as ready is used again.
#[test]
fn server_that_rejects_while_the_list_is_lost_is_avoided_until_an_update() {
    for (seed, servers, gap) in
        (0..60).map(|n| (n, 3 + n as u32 % 5, [20, 200, 1_500][n as usize % 3]))
    {
        let list = settings_with_polling();
        let mut driver = Driver::with_seed(list, servers, seed);
        driver.handle(Event::EndpointsUpdated {
            kind: UpdateKind::Lost,
            version: 0,
            endpoints: vec![],
        });
        let mut sends = 0;
        for _ in 0..200 {
            driver.now += gap * MS;
            let (id, actions) = driver.request(0);
            let (mut next, mut attempt) = (sent_to(&actions), 0);
            while let Some(server) = next {
                let drains = server == ServerId(0);
                sends += u32::from(drains);
                let outcome = if drains {
                    Outcome::Rejected
                } else {
                    Outcome::Served
                };
                next = sent_to(&driver.end_attempt(id, attempt, server, outcome));
                attempt += 1;
            }
        }
        assert!(sends <= 1, "seed {seed}: {sends} sends");
        driver.handle(endpoint_changed(Endpoint {
            status: EndpointStatus::Draining,
            ..endpoint(1)
        }));
        assert!(
            driver.servers_in_use().contains(&0),
            "seed {seed}: listed as ready"
        );
    }
}

#[test]
fn stale_list_does_not_restore_a_draining_server() {
    let mut driver = Driver::new(settings(), 4);
    driver.handle(endpoint_changed(Endpoint {
        status: EndpointStatus::Draining,
        ..endpoint(0)
    }));
    assert_eq!(driver.servers_in_use(), [1, 2, 3]);
    driver.handle(endpoint_changed(endpoint(0)));
    assert_eq!(driver.servers_in_use(), [1, 2, 3]);
    driver.handle(endpoint_changed(Endpoint {
        incarnation: Some(5),
        ..endpoint(0)
    }));
    assert_eq!(driver.servers_in_use(), [0, 1, 2, 3]);
}

#[test]
fn full_list_removes_servers_it_omits() {
    let mut driver = Driver::new(settings(), 4);
    let endpoints = (1..4).map(endpoint).collect();
    driver.handle(Event::EndpointsUpdated {
        kind: UpdateKind::Full,
        version: 2,
        endpoints,
    });
    assert_eq!(driver.servers_in_use(), [1, 2, 3]);
}

#[test]
fn removed_server_stays_in_use_where_only_draining_binds() {
    let mut driver = Driver::new(
        Settings {
            allow_removed_servers: true,
            ..settings()
        },
        4,
    );
    driver.handle(endpoint_changed(Endpoint {
        status: EndpointStatus::Removed,
        ..endpoint(0)
    }));
    driver.handle(endpoint_changed(Endpoint {
        status: EndpointStatus::Draining,
        ..endpoint(1)
    }));
    assert_eq!(driver.servers_in_use(), [0, 2, 3]);
}

/// The figure for the fleet: polls in the time that a discovery of four calls a second needs to
/// respond to all once.
#[test]
fn hundred_balancers_that_lost_their_list_do_not_saturate_discovery() {
    let (mut polls, mut max_pause) = (0, 0);
    for seed in 0..100 {
        let settings = settings_with_polling();
        let mut driver = Driver::with_seed(settings, 4, seed);
        let lost = |driver: &mut Driver| {
            let (kind, version, endpoints) = (UpdateKind::Lost, 0, Vec::new());
            driver.handle(Event::EndpointsUpdated {
                kind,
                version,
                endpoints,
            });
        };
        lost(&mut driver);
        let mut last = driver.now;
        for _ in 0..25_000 / 25 {
            if driver.advance(25 * MS).contains(&Action::PollEndpoints) {
                max_pause = max_pause.max(driver.now - last);
                last = driver.now;
                polls += 1;
                lost(&mut driver);
            }
        }
    }
    // Eight polls each in 25 s, half of them in the first three; none waits longer than the longest
    // interval.
    assert!(
        polls <= 800 && max_pause <= 10_000 * MS,
        "{polls} {max_pause}"
    );
}
