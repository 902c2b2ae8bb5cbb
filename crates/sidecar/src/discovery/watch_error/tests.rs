use arrowstand_platform::EndpointList;

use super::*;
use crate::discovery::object_decoder::ObjectDecoder;

#[test]
fn each_error_has_its_log_message() {
    let too_long = ObjectDecoder::new(3, 8)
        .push(b"long")
        .expect_err("too long");
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
        (too_long.into(), "object exceeds the limit of 3 bytes"),
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
