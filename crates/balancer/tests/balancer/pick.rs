//! Which server a request goes to.

use std::collections::BTreeMap;

use crate::common::{Driver, MS, endpoint, endpoint_changed, sent_to, settings};
use arrowstand_balancer::{Endpoint, MachineType, Outcome};

#[test]
fn of_two_drawn_servers_the_one_with_fewer_attempts_in_flight_is_picked() {
    let mut driver = Driver::new(settings(), 2);
    let mut in_flight = BTreeMap::new();
    for _ in 0..200 {
        let (_, actions) = driver.request(0);
        *in_flight
            .entry(sent_to(&actions).expect("sent"))
            .or_insert(0) += 1;
        if in_flight.values().sum::<i32>() >= 10 {
            break;
        }
    }
    let counts: Vec<i32> = in_flight.values().copied().collect();
    assert!((counts[0] - counts[1]).abs() <= 4, "{counts:?}");
}

#[test]
fn server_that_fails_some_attempts_gets_fewer() {
    let (mut driver, mut attempts) = (Driver::new(settings(), 2), [0, 0]);
    for n in 0..400 {
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("sent");
        attempts[server.0 as usize] += 1;
        driver.now += 5 * MS;
        let outcome = if server.0 == 0 && n % 3 == 0 {
            Outcome::ServerError
        } else {
            Outcome::Served
        };
        driver.end_attempt(id, 0, server, outcome);
    }
    assert!(2 * attempts[0] < attempts[1], "{attempts:?}");
}

#[test]
fn larger_machine_is_drawn_more_often_from_the_first_request_on() {
    let large = MachineType {
        id: 1,
        cores: 3.0,
        speed: 1.0,
    };
    let small = MachineType {
        id: 2,
        cores: 2.0,
        speed: 0.5,
    };
    let mut driver = Driver::new(settings(), 8);
    for n in 0..8 {
        driver.handle(endpoint_changed(Endpoint {
            machine_type: if n < 4 { large } else { small },
            ..endpoint(n)
        }));
    }
    let on_large = (0..800).filter(|_| driver.serve(0).0 < 4).count();
    // At first three to one; as all take equally long, the stated speeds give way to the measured
    // latencies.
    assert!((480..640).contains(&on_large), "{on_large}");
}

#[test]
fn latency_of_one_server_counts_for_its_machine_type() {
    let machine_type = |n: u32| MachineType {
        id: n / 4,
        ..MachineType::default()
    };
    let mut driver = Driver::new(settings(), 8);
    (0..8).for_each(|n| {
        drop(driver.handle(endpoint_changed(Endpoint {
            machine_type: machine_type(n),
            ..endpoint(n)
        })));
    });
    let mut served = |count: u32, of: std::ops::Range<u32>| {
        let mut seen = 0;
        for _ in 0..count {
            let (id, actions) = driver.request(0);
            let Some(server) = sent_to(&actions) else {
                continue;
            };
            // The first three of the second type take four times as long; the last one never
            // responds.
            driver.now += if server.0 < 4 { 20 * MS } else { 80 * MS };
            let outcome = if server.0 == 7 {
                Outcome::Cancelled
            } else {
                Outcome::Served
            };
            driver.end_attempt(id, 0, server, outcome);
            seen += u32::from(of.contains(&server.0));
        }
        seen
    };
    served(600, 0..8);
    let last = served(2_000, 7..8);
    assert!(
        last < 150,
        "{last} of 2000 went to a server of a slow type; 250 were its equal share"
    );
}
