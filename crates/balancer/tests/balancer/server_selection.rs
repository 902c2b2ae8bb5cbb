//! Selection of the server that a request is sent to.

use std::collections::BTreeMap;

use crate::common::{Driver, MS, endpoint, endpoint_changed, sent_to, settings};
use arrowstand_balancer::{Endpoint, MachineType, Outcome};

#[test]
fn attempts_in_flight_stay_balanced_between_two_servers() {
    let mut driver = Driver::new(settings(), 2);
    let mut in_flight = BTreeMap::new();
    for _ in 0..200 {
        let (_, actions) = driver.request(0);
        *in_flight
            .entry(sent_to(&actions).expect("the request is sent"))
            .or_insert(0) += 1;
        if in_flight.values().sum::<i32>() >= 10 {
            break;
        }
    }
    let counts: Vec<i32> = in_flight.values().copied().collect();
    assert!((counts[0] - counts[1]).abs() <= 4, "{counts:?}");
}

#[test]
fn server_that_fails_some_attempts_gets_fewer_requests() {
    let (mut driver, mut attempts) = (Driver::new(settings(), 2), [0, 0]);
    for n in 0..400 {
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("the request is sent");
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
fn larger_machine_type_gets_more_requests_from_the_start() {
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
    let served_by_large = (0..800).filter(|_| driver.serve(0).0 < 4).count();
    // The stated capacities give a ratio of three to one at first. All servers take equally long,
    // so measured latencies then replace the stated speeds.
    assert!((480..640).contains(&served_by_large), "{served_by_large}");
}

#[test]
fn latency_samples_are_shared_by_all_servers_of_a_machine_type() {
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
    let mut sends_to = |servers: std::ops::Range<u32>, count: u32| {
        let mut sends = 0;
        for _ in 0..count {
            let (id, actions) = driver.request(0);
            let Some(server) = sent_to(&actions) else {
                continue;
            };
            // Servers of the second machine type take four times as long. Attempts at the last one
            // are cancelled, so it has no latency samples of its own.
            driver.now += if server.0 < 4 { 20 * MS } else { 80 * MS };
            let outcome = if server.0 == 7 {
                Outcome::Cancelled
            } else {
                Outcome::Served
            };
            driver.end_attempt(id, 0, server, outcome);
            sends += u32::from(servers.contains(&server.0));
        }
        sends
    };
    sends_to(0..8, 600);
    let sends_to_last = sends_to(7..8, 2_000);
    assert!(
        sends_to_last < 150,
        "{sends_to_last} of 2000 went to a server of a slow machine type (equal share: 250)"
    );
}
