use std::net::SocketAddr;

use super::*;
use crate::discovery::Endpoint;

/// A day of replaced job servers, each at the address of the one before: too long to record.
#[test]
fn what_has_gone_is_forgotten_and_its_number_is_not_used_again() {
    let (mut directory, mut numbers) = (ServerRegistry::default(), Vec::new());
    let line = |n: u32, condition| Endpoint {
        uid: format!("s{n}"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "z".to_owned(),
        cell: 0,
        model: String::new(),
        condition,
        boot_ms: 0.0,
    };
    for n in 1..100 {
        let endpoints = vec![
            line(n - 1, EndpointStatus::Removed),
            line(n, EndpointStatus::Ready),
        ];
        let table = EndpointList {
            endpoints,
            ..EndpointList::default()
        };
        let members = directory.apply(UpdateKind::Incremental, &table, Duration::ZERO);
        numbers.push(members[1].server);
    }
    assert!(directory.by_name.len() <= 3 && directory.by_id.len() <= 3);
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}
