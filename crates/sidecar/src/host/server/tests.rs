use super::*;

/// The expected state after a list entry, and since when the drain or the removal was known if it
/// was known before.
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

/// Every combination of status and incarnation that a list entry can have.
fn list_entries() -> Vec<(EndpointStatus, Option<Micros>)> {
    STATUSES
        .into_iter()
        .flat_map(|status| INCARNATIONS.map(|incarnation| (status, incarnation)))
        .collect()
}

/// The test runs all sequences of list entries of this length.
const SEQUENCE_LENGTH: u32 = 5;

#[test]
fn availability_follows_every_sequence_of_list_entries() {
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
            let is_correct = |notified_at: Instant| match known_since {
                Some(known_since) => notified_at == known_since,
                None => (earliest..=latest).contains(&notified_at),
            };
            match server.availability.get() {
                Availability::Ready => assert_eq!(state, "ready", "sequence {sequence}"),
                Availability::Draining { notified_at } => {
                    assert!(state == "draining" && is_correct(notified_at), "{sequence}");
                }
                Availability::Removed { notified_at } => {
                    assert!(state == "removed" && is_correct(notified_at), "{sequence}");
                }
            }
            assert_eq!(server.is_removed(), state == "removed");
            assert_eq!(server.drain_age().is_some(), state != "ready");
        }
    }
}
