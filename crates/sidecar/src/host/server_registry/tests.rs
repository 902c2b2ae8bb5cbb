use super::*;
use crate::discovery::Endpoint;

/// A day of replaced servers, each at the address of the one before: too long to record.
#[test]
fn a_removed_server_is_forgotten_and_its_number_is_not_used_again() {
    let (mut registry, mut numbers) = (ServerRegistry::default(), Vec::new());
    let entry = |n: u32, condition| Endpoint {
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
            entry(n - 1, EndpointStatus::Removed),
            entry(n, EndpointStatus::Ready),
        ];
        let list = EndpointList {
            endpoints,
            ..EndpointList::default()
        };
        let listed = registry.apply(UpdateKind::Incremental, &list, Duration::ZERO);
        numbers.push(listed[1].server);
    }
    assert!(registry.by_name.len() <= 3 && registry.by_id.len() <= 3);
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}
