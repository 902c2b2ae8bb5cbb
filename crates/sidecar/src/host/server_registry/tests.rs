use super::*;
use arrowstand_platform::ListedEndpoint;

fn entry(n: u32, status: EndpointStatus) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("s{n}"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "z".to_owned(),
        cell: 0,
        machine_type: String::new(),
        status,
        started_at: None,
    }
}

fn list(endpoints: Vec<ListedEndpoint>) -> EndpointList {
    EndpointList {
        endpoints,
        ..EndpointList::default()
    }
}

/// Replaces servers as over a day, each at the address of the one before; too long for a recorded
/// scenario.
#[test]
fn a_removed_server_is_discarded_and_its_id_is_not_reused() {
    let mut registry = ServerRegistry::default();
    let mut ids = Vec::new();
    for n in 1..100 {
        let list = list(vec![
            entry(n - 1, EndpointStatus::Removed),
            entry(n, EndpointStatus::Ready),
        ]);
        let listed = registry.apply_update(UpdateKind::Incremental, &list, Duration::ZERO);
        ids.push(listed[1].server);
    }
    assert!(registry.by_name.len() <= 3 && registry.by_id.len() <= 3);
    assert!(ids.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn a_server_missing_from_a_full_list_is_removed_and_keeps_its_id() {
    const RETENTION: Duration = Duration::from_secs(60);
    let mut registry = ServerRegistry::default();
    let both = list(vec![
        entry(0, EndpointStatus::Ready),
        entry(1, EndpointStatus::Ready),
    ]);
    let listed = registry.apply_update(UpdateKind::Full, &both, RETENTION);
    let is_removed = |registry: &ServerRegistry, id| {
        let server = registry.get(id).expect("within its retention");
        server.is_removed()
    };
    let one = list(vec![entry(1, EndpointStatus::Ready)]);
    registry.apply_update(UpdateKind::Incremental, &one, RETENTION);
    assert!(!is_removed(&registry, listed[0].server), "not a full list");
    registry.apply_update(UpdateKind::Full, &one, RETENTION);
    assert!(is_removed(&registry, listed[0].server));
    assert!(!is_removed(&registry, listed[1].server));
    let listed_again = registry.apply_update(UpdateKind::Full, &both, RETENTION);
    assert_eq!(listed_again[0].server, listed[0].server);
    assert!(!is_removed(&registry, listed[0].server));
}

/// Guards against a new process that is taken for the one that had its address before.
#[test]
fn removed_server_is_replaced_once_another_is_ready_at_its_address() {
    let mut registry = ServerRegistry::default();
    let mut apply = |entries| {
        let list = list(entries);
        let ids = registry.apply_update(UpdateKind::Incremental, &list, Duration::from_secs(60));
        let is_replaced = |id| registry.get(id).map(|server| server.is_replaced());
        ids.iter()
            .map(|entry| is_replaced(entry.server))
            .collect::<Vec<_>>()
    };
    assert_eq!(apply(vec![entry(0, EndpointStatus::Ready)]), [Some(false)]);
    assert_eq!(
        apply(vec![entry(0, EndpointStatus::Removed)]),
        [Some(false)]
    );
    let in_either_order = [
        entry(1, EndpointStatus::Ready),
        entry(0, EndpointStatus::Removed),
    ];
    assert_eq!(apply(in_either_order.to_vec()), [Some(false), Some(true)]);
    let back_again = [
        entry(1, EndpointStatus::Draining),
        entry(0, EndpointStatus::Ready),
    ];
    assert_eq!(apply(back_again.to_vec()), [Some(true), Some(false)]);
}

#[test]
fn configured_zones_keep_their_indices_and_new_zones_follow() {
    let zones = vec!["a".to_owned(), "z".to_owned()];
    let mut registry = ServerRegistry::new(zones, MachineCatalogue::default());
    let mut new_zone = entry(1, EndpointStatus::Ready);
    new_zone.zone = "new".to_owned();
    let mixed = list(vec![entry(0, EndpointStatus::Ready), new_zone]);
    for _ in 0..2 {
        let listed = registry.apply_update(UpdateKind::Full, &mixed, Duration::ZERO);
        assert_eq!((listed[0].zone, listed[1].zone), (1, 2));
    }
}

#[test]
fn a_ready_server_has_been_seen_once_a_list_contained_one() {
    let mut registry = ServerRegistry::default();
    let mut apply = |status| {
        let one = list(vec![entry(0, status)]);
        registry.apply_update(UpdateKind::Incremental, &one, Duration::ZERO);
        registry.has_seen_ready_server()
    };
    assert!(!apply(EndpointStatus::Draining));
    assert!(apply(EndpointStatus::Ready));
    assert!(apply(EndpointStatus::Removed), "seen before");
}

/// Guards against comparing each known server with each entry of a full list, and each zone with
/// each zone: work that grows with the square of the list holds the thread for too long.
#[test]
fn full_list_of_many_servers_and_zones_is_applied_within_the_limit_for_a_busy_thread() {
    /// Twenty times the largest fleet, so that the square of the list dominates.
    const SERVERS: u32 = 64_000;
    /// From the platform: a thread that neither waits nor ends for this long counts as crashed.
    const BUSY_THREAD_LIMIT: Duration = Duration::from_secs(20);
    const RETENTION: Duration = Duration::from_secs(60);
    let in_own_zone = |n| ListedEndpoint {
        zone: format!("z{n}"),
        ..entry(n, EndpointStatus::Ready)
    };
    let list = list((0..SERVERS).map(in_own_zone).collect());
    let mut registry = ServerRegistry::default();
    let started_at = tokio::time::Instant::now();

    registry.apply_update(UpdateKind::Full, &list, RETENTION);
    let listed = registry.apply_update(UpdateKind::Full, &list, RETENTION);

    assert!(started_at.elapsed() < BUSY_THREAD_LIMIT);
    assert!(listed.iter().map(|server| server.zone).eq(0..SERVERS));
}
