use super::*;

/// The expected state after a list entry. If the server is not ready after the entry and was not
/// ready before it either, also the time at which it stopped being ready, which must not change.
fn expected(
    before: Availability,
    status: EndpointStatus,
    is_newer_incarnation: bool,
) -> (&'static str, Option<Instant>) {
    let known_since = match before {
        Availability::Ready => None,
        Availability::Draining { not_ready_since } | Availability::Removed { not_ready_since } => {
            Some(not_ready_since)
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

const START_TIMES: [Option<Micros>; 3] = [None, Some(1), Some(2)];
const STATUSES: [EndpointStatus; 3] = [
    EndpointStatus::Ready,
    EndpointStatus::Draining,
    EndpointStatus::Removed,
];

/// Every combination of status and start time that a list entry can have.
fn list_entries() -> Vec<(EndpointStatus, Option<Micros>)> {
    STATUSES
        .into_iter()
        .flat_map(|status| START_TIMES.map(|started_at| (status, started_at)))
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
        let mut latest_started_at = None;
        for _ in 0..SEQUENCE_LENGTH {
            let (status, started_at) = entries[rest % entries.len()];
            rest /= entries.len();
            let before = server.availability.get();
            let earliest = Instant::now();
            server.apply_status(status, started_at);
            let latest = Instant::now();
            let (state, known_since) = expected(before, status, started_at > latest_started_at);
            latest_started_at = latest_started_at.max(started_at);
            let is_correct = |at: Instant| match known_since {
                Some(known_since) => at == known_since,
                None => (earliest..=latest).contains(&at),
            };
            match server.availability.get() {
                Availability::Ready => assert_eq!(state, "ready", "sequence {sequence}"),
                Availability::Draining {
                    not_ready_since: at,
                } => {
                    assert!(state == "draining" && is_correct(at), "{sequence}");
                }
                Availability::Removed {
                    not_ready_since: at,
                } => {
                    assert!(state == "removed" && is_correct(at), "{sequence}");
                }
            }
            assert_eq!(server.is_removed(), state == "removed");
            assert_eq!(server.time_not_ready().is_some(), state != "ready");
        }
    }
}
