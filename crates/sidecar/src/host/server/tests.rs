use super::*;

/// What a list entry must make of a server, and since when its drain was known where it was known
/// before.
fn expected(
    before: Availability,
    status: EndpointStatus,
    is_newer_incarnation: bool,
) -> (&'static str, Option<Instant>) {
    let known_since = match before {
        Availability::Ready => None,
        Availability::Draining { notified_at } | Availability::Removed { notified_at } => {
            Some(notified_at)
        }
    };
    match (before, status) {
        (Availability::Draining { .. }, EndpointStatus::Ready) if !is_newer_incarnation => {
            ("draining", known_since)
        }
        (_, EndpointStatus::Ready) => ("ready", None),
        (_, EndpointStatus::Draining) => ("draining", known_since),
        (_, EndpointStatus::Removed) => ("removed", known_since),
    }
}

const INCARNATIONS: [Option<Micros>; 3] = [None, Some(1), Some(2)];
const STATUSES: [EndpointStatus; 3] = [
    EndpointStatus::Ready,
    EndpointStatus::Draining,
    EndpointStatus::Removed,
];

/// Every entry that a list can have for a server, as far as its availability depends on it.
fn list_entries() -> Vec<(EndpointStatus, Option<Micros>)> {
    STATUSES
        .into_iter()
        .flat_map(|status| INCARNATIONS.map(|incarnation| (status, incarnation)))
        .collect()
}

/// Runs the check over all sequences of list entries up to this length.
const SEQUENCE_LENGTH: u32 = 5;

#[test]
fn every_sequence_of_list_entries_leaves_a_server_ready_draining_or_removed() {
    let entries = list_entries();
    for sequence in 0..entries.len().pow(SEQUENCE_LENGTH) {
        let server = Server::new(ServerId(0), SocketAddr::from(([127, 0, 0, 1], 9)));
        assert_eq!(
            server.availability.get(),
            Availability::Ready,
            "before any list"
        );
        let mut rest = sequence;
        let mut highest_incarnation = None;
        for _ in 0..SEQUENCE_LENGTH {
            let (status, incarnation) = entries[rest % entries.len()];
            rest /= entries.len();
            let before = server.availability.get();
            let earliest = Instant::now();
            server.on_listed(status, incarnation);
            let latest = Instant::now();
            let (state, known_since) = expected(before, status, incarnation > highest_incarnation);
            highest_incarnation = highest_incarnation.max(incarnation);
            let in_order = |notified_at: Instant| match known_since {
                Some(known_since) => notified_at == known_since,
                None => (earliest..=latest).contains(&notified_at),
            };
            match server.availability.get() {
                Availability::Ready => assert_eq!(state, "ready", "sequence {sequence}"),
                Availability::Draining { notified_at } => {
                    assert!(state == "draining" && in_order(notified_at), "{sequence}");
                }
                Availability::Removed { notified_at } => {
                    assert!(state == "removed" && in_order(notified_at), "{sequence}");
                }
            }
            assert_eq!(server.is_removed(), state == "removed");
            assert_eq!(server.drain_age().is_some(), state != "ready");
        }
    }
}
