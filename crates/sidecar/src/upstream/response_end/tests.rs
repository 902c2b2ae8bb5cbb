use super::*;
use crate::limits::LimitInputs;

/// Guards against a response with too small a length that is taken for a whole one: only a complete
/// head with the same status and length shows that the response before it was whole.
#[test]
fn only_a_head_like_that_of_the_response_is_a_second_copy() {
    let limits = Limits::derive(&LimitInputs::default());
    let response = ResponseSummary {
        status: 200,
        body_length: 5,
    };
    let cases = [
        ("", BytesPastEnd::None),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
            BytesPastEnd::SecondCopy,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Server-Load: inflight=1\r\n\r\nhel",
            BytesPastEnd::SecondCopy,
        ),
        ("d", BytesPastEnd::Unexplained),
        ("HTTP/1.1 200 OK\r\n", BytesPastEnd::Unexplained),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n",
            BytesPastEnd::Unexplained,
        ),
        (
            "HTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\n",
            BytesPastEnd::Unexplained,
        ),
        ("HTTP/1.1 100 Go\r\n\r\n", BytesPastEnd::Unexplained),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            BytesPastEnd::Unexplained,
        ),
    ];
    for (bytes, expected) in cases {
        let classified = classify_bytes_past_end(bytes.as_bytes(), response, &limits);
        assert_eq!(classified, expected, "{bytes}");
    }
}
