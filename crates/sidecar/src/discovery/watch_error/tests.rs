use arrowstand_platform::EndpointList;

use super::*;

#[test]
fn each_error_has_its_log_message() {
    let cases = [
        (
            WatchError::PollFailed(SendRequestError::Timeout),
            "poll failed: Timeout while waiting for response",
        ),
        (
            WatchError::PollRejected(StatusCode::SERVICE_UNAVAILABLE),
            "poll rejected: expected a 2xx status, got 503 Service Unavailable",
        ),
        (
            WatchError::WatchFailed(PayloadError::Overflow),
            "watch connection failed: payload reached size limit",
        ),
        (WatchError::WatchEnded, "discovery closed the watch"),
        (
            WatchError::WatchSilent {
                last_received_at: Instant::now(),
            },
            "watch timed out: no endpoint list or heartbeat arrived",
        ),
        (
            ObjectTooLarge::Bytes(3).into(),
            "object exceeds the limit of 3 bytes",
        ),
        (
            ObjectTooLarge::Values(2).into(),
            "object exceeds the limit of 2 values",
        ),
        (
            EndpointList::parse("{}", 8)
                .map_err(WatchError::InvalidObject)
                .expect_err("no revision"),
            "invalid endpoint list, requesting the full list: rev: is missing",
        ),
    ];
    for (error, message) in cases {
        assert_eq!(error.to_string(), message);
    }
}

/// Guards against a discovery that makes calls wait and then fails them being taken for one that is
/// down, which has nothing to notify; and against a failure of this process being taken for either.
#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn only_a_poll_that_fails_without_a_wait_shows_that_discovery_is_down() {
    let (at_once, later) = (Duration::from_millis(5), Duration::from_secs(1));
    let connect = |kind: io::ErrorKind| {
        WatchError::PollFailed(SendRequestError::Connect(ConnectError::Io(kind.into())))
    };
    let disconnected =
        || WatchError::PollFailed(SendRequestError::Connect(ConnectError::Disconnected));
    let no_handshake = || WatchError::PollFailed(SendRequestError::Connect(ConnectError::Timeout));
    let rejected = |status| WatchError::PollRejected(status);
    let cases = [
        (
            connect(io::ErrorKind::ConnectionRefused),
            at_once,
            PollFailure::Refused,
        ),
        (
            connect(io::ErrorKind::HostUnreachable),
            later,
            PollFailure::Unreachable,
        ),
        (
            connect(io::ErrorKind::OutOfMemory),
            at_once,
            PollFailure::Local,
        ),
        (no_handshake(), later, PollFailure::Unreachable),
        (disconnected(), at_once, PollFailure::Unreachable),
        (disconnected(), later, PollFailure::Unanswered),
        (
            rejected(StatusCode::SERVICE_UNAVAILABLE),
            at_once,
            PollFailure::Unreachable,
        ),
        (
            rejected(StatusCode::SERVICE_UNAVAILABLE),
            later,
            PollFailure::Unanswered,
        ),
        (
            rejected(StatusCode::NOT_FOUND),
            at_once,
            PollFailure::Unanswered,
        ),
    ];
    for (error, waited, expected) in cases {
        assert_eq!(error.poll_failure(waited), expected, "{error}");
    }
}
