use super::*;
use crate::limits::LimitInputs;

const TOO_MANY_INTERIM: &str = "too many interim responses, or a protocol switch";

fn limits() -> Limits {
    Limits::derive(&LimitInputs {
        sockets: 64,
        ..LimitInputs::default()
    })
}

/// Processes the bytes of one read; returns the framing, the result and the bytes passed on.
fn receive(bytes: &[u8]) -> (ResponseFraming, Result<BytesPastEnd, String>, Vec<u8>) {
    let mut framing = ResponseFraming::awaiting_head();
    let received = framing
        .on_head_bytes(bytes, &limits())
        .map(|()| framing.bytes_past_end(&limits()));
    let mut passed_on = vec![0; 1024];
    let mut output = ReadBuf::new(&mut passed_on);
    framing.move_buffered_to(&mut output);
    let passed_on = output.filled().to_vec();
    (
        framing,
        received.map_err(|error| error.to_string()),
        passed_on,
    )
}

#[test]
fn incomplete_head_is_not_passed_on() {
    let (framing, received, passed_on) = receive(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n");
    assert_eq!(received, Ok(BytesPastEnd::None));
    assert!(framing.is_reading_head() && passed_on.is_empty());
}

#[test]
fn sized_body_ends_after_its_content_length() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo";
    let (mut framing, received, passed_on) = receive(response);
    assert_eq!(received, Ok(BytesPastEnd::None));
    assert_eq!(passed_on, response);
    assert_eq!(framing.body_bytes_left(), Some(2));
    assert!(framing.on_body_bytes(b"dy").is_ok() && framing.is_idle());
}

#[test]
fn bytes_after_a_sized_body_are_not_passed_on_and_are_reported() {
    let copy = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    for (behind, expected) in [
        (copy, BytesPastEnd::SecondCopy),
        ("HTTP/1.1 500 No\r\n", BytesPastEnd::Unexplained),
        ("ay\"}", BytesPastEnd::Unexplained),
    ] {
        let (framing, received, passed_on) = receive(format!("{copy}ok{behind}").as_bytes());
        assert_eq!(received, Ok(expected), "{behind}");
        assert!(framing.is_idle() && passed_on.ends_with(b"\r\n\r\nok"));
    }
}

#[test]
fn responses_without_content_have_no_body() {
    for head in [
        "HTTP/1.1 204 Empty\r\n\r\n",
        "HTTP/1.1 304 Same\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ] {
        let (framing, received, passed_on) = receive(head.as_bytes());
        assert_eq!(received, Ok(BytesPastEnd::None), "{head}");
        assert!(framing.is_idle() && passed_on == head.as_bytes(), "{head}");
    }
}

#[test]
fn chunked_body_is_unsized_and_passed_on_unchanged() {
    let response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n";
    let (framing, received, passed_on) = receive(response);
    assert_eq!(received, Ok(BytesPastEnd::None));
    assert!(framing.is_reading_unsized_body() && passed_on == response);
}

/// Guards against a chunk whose size is given as 0: its data looks like trailers, and the response
/// would be passed on without it.
#[test]
fn chunked_body_with_trailers_fails_wherever_they_begin() {
    let response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nok\r\n0\r\n\r\n";
    let head_end = response.find("0\r\n").expect("first chunk");
    let trailers = Err("trailers in response".to_owned());
    for first_read in head_end..response.len() {
        let (first, second) = response.split_at(first_read);
        let (mut framing, received, _) = receive(first.as_bytes());
        let later = framing.on_body_bytes(second.as_bytes());
        let all = received.and_then(|_| later.map_err(|error| error.to_string()));
        assert_eq!(all, trailers, "{first_read} bytes at once");
    }
}

#[test]
fn body_that_ends_with_its_connection_is_passed_on_as_http_1_0() {
    let (framing, received, passed_on) = receive(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody");
    assert_eq!(received, Ok(BytesPastEnd::None));
    assert!(framing.is_reading_unsized_body());
    assert_eq!(passed_on, b"HTTP/1.0 200 OK\r\nA: b\r\n\r\nbody");
}

#[test]
fn unsized_body_fails_if_it_exceeds_the_limit() {
    let (mut framing, ..) = receive(b"HTTP/1.1 200 OK\r\n\r\n");
    let allowed = limits().upstream.max_unsized_response_bytes;
    assert!(framing.on_body_bytes(&vec![b'b'; allowed - 1]).is_ok());
    let error = framing.on_body_bytes(b"b").expect_err("too long");
    assert_eq!(
        error.to_string(),
        "response body without Content-Length is too long"
    );
}

#[test]
fn interim_responses_are_dropped_up_to_their_limit() {
    let limit = limits().upstream.max_interim_responses;
    let last = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let interim = "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n".repeat(limit);
    let (framing, received, passed_on) = receive(format!("{interim}{last}").as_bytes());
    assert_eq!(received, Ok(BytesPastEnd::None));
    assert!(framing.is_idle() && passed_on == last.as_bytes());
    let (_, received, _) = receive(format!("{interim}HTTP/1.1 100 Go\r\n\r\n{last}").as_bytes());
    assert_eq!(received, Err(TOO_MANY_INTERIM.to_owned()));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn malformed_head_fails_with_its_error() {
    let invalid = "invalid response head";
    let length = "invalid or too large Content-Length in response";
    let coding = "unsupported transfer coding in response";
    let cases = [
        ("SSH-2.0-server\r\n\r\n".to_owned(), invalid),
        (
            format!("HTTP/1.1 200 OK\r\nA: {}", "a".repeat(17_000)),
            invalid,
        ),
        ("HTTP/1.1 101 Switch\r\n\r\n".to_owned(), TOO_MANY_INTERIM),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n".to_owned(),
            length,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\n".to_owned(),
            length,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\n".to_owned(),
            length,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n".to_owned(),
            length,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n".to_owned(),
            "ambiguous body length in response",
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            "ambiguous body length in response",
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n".to_owned(),
            coding,
        ),
        (
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            coding,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
                .to_owned(),
            coding,
        ),
    ];
    for (head, reason) in cases {
        let (_, received, _) = receive(head.as_bytes());
        assert_eq!(received, Err(reason.to_owned()), "{head}");
    }
}
