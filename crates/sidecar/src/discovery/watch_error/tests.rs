use arrowstand_platform::EndpointList;

use super::*;
use crate::discovery::object_decoder::ObjectDecoder;

#[test]
fn messages_are_those_of_the_log() {
    let too_long = ObjectDecoder::new(3, 8)
        .push(b"long")
        .expect_err("too long");
    let cases = [
        (
            WatchError::PollFailed(SendRequestError::Timeout),
            "the call failed: Timeout while waiting for response",
        ),
        (
            WatchError::PollRejected(StatusCode::SERVICE_UNAVAILABLE),
            "the call ended with 503 Service Unavailable",
        ),
        (WatchError::PollTimedOut, "the call was not answered"),
        (
            WatchError::WatchFailed(PayloadError::Overflow),
            "the watch broke: payload reached size limit",
        ),
        (WatchError::WatchEnded, "the watch ended"),
        (
            WatchError::WatchSilent {
                last_received_at: Instant::now(),
            },
            "the watch fell silent",
        ),
        (too_long.into(), "an object is longer than 3 bytes"),
        (
            EndpointList::parse("{}", 8)
                .map_err(WatchError::InvalidObject)
                .expect_err("no revision"),
            "a line cannot be read, the whole list is asked for: rev: is missing",
        ),
    ];
    for (error, message) in cases {
        assert_eq!(error.to_string(), message);
    }
}
