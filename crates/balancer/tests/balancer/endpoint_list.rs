//! Endpoint list updates, and polling after the subscription is lost.

use crate::common::{
    Driver, MS, endpoint, endpoint_changed, sent_to, settings, settings_with_polling,
};
use arrowstand_balancer::{
    Action, Endpoint, EndpointStatus, Event, Outcome, ServerId, Settings, UpdateKind,
};

#[test]
fn lost_list_is_always_polled_again_within_the_maximum_poll_interval() {
    let mut driver = Driver::new(settings_with_polling(), 4);
    for _ in 0..8 {
        driver.handle(Event::EndpointsUpdated {
            kind: UpdateKind::Lost,
            version: 0,
            endpoints: vec![],
        });
        // The longest pause is three quarters of the maximum poll interval of 10 s.
        assert!(driver.advance(7_550 * MS).contains(&Action::PollEndpoints));
    }
}

/// `MAX_POLL_PAUSE` in `crates/sidecar/src/limits/discovery.rs` relies on this bound.
#[test]
fn first_poll_after_a_lost_list_comes_within_325_ms() {
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

/// At several request rates and fleet sizes: at most one attempt goes to a draining server while
/// the list is lost, and a server that is then listed as ready is used again.
#[test]
fn server_that_rejects_while_the_list_is_lost_is_not_used_until_an_update() {
    for (seed, servers, interval_ms) in
        (0..60).map(|n| (n, 3 + n as u32 % 5, [20, 200, 1_500][n as usize % 3]))
    {
        let mut driver = Driver::with_seed(settings_with_polling(), servers, seed);
        driver.handle(Event::EndpointsUpdated {
            kind: UpdateKind::Lost,
            version: 0,
            endpoints: vec![],
        });
        let mut sends = 0;
        for _ in 0..200 {
            driver.now += interval_ms * MS;
            let (id, actions) = driver.request(0);
            let (mut next, mut attempt) = (sent_to(&actions), 0);
            while let Some(server) = next {
                let is_draining = server == ServerId(0);
                sends += u32::from(is_draining);
                let outcome = if is_draining {
                    Outcome::Rejected
                } else {
                    Outcome::Served
                };
                next = sent_to(&driver.end_attempt(id, attempt, server, outcome));
                attempt += 1;
            }
        }
        assert!(
            sends <= 1,
            "seed {seed}: {sends} attempts sent to the draining server"
        );
        driver.handle(endpoint_changed(Endpoint {
            status: EndpointStatus::Draining,
            ..endpoint(1)
        }));
        assert!(
            driver.servers_in_use().contains(&0),
            "seed {seed}: a server listed as ready is not used"
        );
    }
}

/// A list that shows a draining server as ready without a newer incarnation is stale.
#[test]
fn draining_server_that_is_listed_as_ready_is_used_only_after_a_restart() {
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
fn servers_that_a_full_list_omits_are_not_used() {
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
fn removed_server_but_no_draining_one_is_used_if_removed_servers_are_allowed() {
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

/// Limits the polls of all balancers together in 25 s, the time in which a discovery service that
/// handles four calls per second can respond to each of 100 balancers once.
#[test]
fn polls_of_100_balancers_that_lost_their_list_do_not_saturate_discovery() {
    let (mut polls, mut max_pause) = (0, 0);
    for seed in 0..100 {
        let settings = settings_with_polling();
        let mut driver = Driver::with_seed(settings, 4, seed);
        let lose_list = |driver: &mut Driver| {
            let (kind, version, endpoints) = (UpdateKind::Lost, 0, Vec::new());
            driver.handle(Event::EndpointsUpdated {
                kind,
                version,
                endpoints,
            });
        };
        lose_list(&mut driver);
        let mut last_poll_at = driver.now;
        for _ in 0..25_000 / 25 {
            if driver.advance(25 * MS).contains(&Action::PollEndpoints) {
                max_pause = max_pause.max(driver.now - last_poll_at);
                last_poll_at = driver.now;
                polls += 1;
                lose_list(&mut driver);
            }
        }
    }
    // At most eight polls per balancer in 25 s, half of them in the first three seconds. No pause
    // is longer than the maximum poll interval.
    assert!(
        polls <= 800 && max_pause <= 10_000 * MS,
        "{polls} {max_pause}"
    );
}
