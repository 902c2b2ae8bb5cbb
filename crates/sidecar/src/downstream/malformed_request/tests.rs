use super::MalformedRequest::*;
use super::*;

#[test]
fn each_error_has_its_status_and_text() {
    let cases = [
        (Pipelined, 400, "one request at a time"),
        (HeaderUnreadable, 400, "a header cannot be read"),
        (RequestIdMissing, 400, "X-Request-ID is missing"),
        (
            PriorityClassUnknown,
            400,
            "X-Priority-Class is not a known class",
        ),
        (IdempotencyKeyMissing, 400, "Idempotency-Key is missing"),
        (MethodNotAllowed, 405, "the method is not GET or POST"),
        (TargetNotPath, 400, "the target is not a path"),
        (TargetTooLong, 414, "the target is too long"),
        (BodyTooLarge, 413, "the body is too large"),
        (
            BodyUnreadable(PayloadError::Overflow),
            400,
            "the body cannot be read",
        ),
        (DuplicateRequestId, 409, "a transaction of that id is open"),
    ];
    for (error, status, text) in cases {
        assert_eq!(
            (error.status().as_u16(), error.to_string().as_str()),
            (status, text)
        );
    }
}
