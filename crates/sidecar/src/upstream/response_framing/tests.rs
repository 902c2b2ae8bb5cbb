use super::*;
use crate::limits::LimitInputs;

fn limits() -> Limits {
    Limits::derive(&LimitInputs {
        sockets: 64,
        ..LimitInputs::default()
    })
}

/// What the framing makes of the bytes in one read, and the bytes that it passes on.
fn receive(bytes: &[u8]) -> (ResponseFraming, Result<ReceivedBytes, String>, Vec<u8>) {
    let mut framing = ResponseFraming::awaiting_head();
    let received = framing.on_head_bytes(bytes, &limits());
    let mut passed_on = vec![0; 1024];
    let mut output = ReadBuf::new(&mut passed_on);
    framing.pass_on_buffered(&mut output);
    let passed_on = output.filled().to_vec();
    (
        framing,
        received.map_err(|error| error.to_string()),
        passed_on,
    )
}

#[test]
fn a_part_of_a_head_is_not_passed_on() {
    let (framing, received, passed_on) = receive(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n");
    assert_eq!(received, Ok(ReceivedBytes::WithinResponse));
    assert!(framing.is_in_head() && passed_on.is_empty());
}

#[test]
fn a_sized_body_ends_after_its_length() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo";
    let (mut framing, received, passed_on) = receive(response);
    assert_eq!(received, Ok(ReceivedBytes::WithinResponse));
    assert_eq!(passed_on, response);
    assert_eq!(framing.body_bytes_left(), Some(2));
    assert!(framing.on_body_bytes(2).is_ok() && framing.is_idle());
}

#[test]
fn bytes_behind_a_sized_body_are_dropped_and_noticed() {
    let (framing, received, passed_on) =
        receive(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 No\r\n");
    assert_eq!(received, Ok(ReceivedBytes::BeyondResponse));
    assert!(framing.is_idle() && passed_on.ends_with(b"\r\n\r\nok"));
}

#[test]
fn responses_without_content_have_no_body() {
    for head in [
        "HTTP/1.1 204 Empty\r\n\r\n",
        "HTTP/1.1 304 Same\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ] {
        let (framing, received, passed_on) = receive(head.as_bytes());
        assert_eq!(received, Ok(ReceivedBytes::WithinResponse), "{head}");
        assert!(framing.is_idle() && passed_on == head.as_bytes(), "{head}");
    }
}

#[test]
fn a_chunked_body_is_unsized_and_passed_on_as_it_is() {
    let response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n";
    let (framing, received, passed_on) = receive(response);
    assert_eq!(received, Ok(ReceivedBytes::WithinResponse));
    assert!(framing.is_in_unsized_body() && passed_on == response);
}

#[test]
fn a_body_that_ends_with_its_connection_is_passed_on_as_http_1_0() {
    let (framing, received, passed_on) = receive(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody");
    assert_eq!(received, Ok(ReceivedBytes::WithinResponse));
    assert!(framing.is_in_unsized_body());
    assert_eq!(passed_on, b"HTTP/1.0 200 OK\r\nA: b\r\n\r\nbody");
}

#[test]
fn an_unsized_body_fails_where_it_is_longer_than_allowed() {
    let (mut framing, ..) = receive(b"HTTP/1.1 200 OK\r\n\r\n");
    let allowed = limits().upstream.max_unsized_response_bytes;
    assert!(framing.on_body_bytes(allowed - 1).is_ok());
    let error = framing.on_body_bytes(1).expect_err("too long");
    assert_eq!(error.to_string(), "an answer does not end");
}

#[test]
fn interim_responses_are_dropped_up_to_their_limit() {
    let limit = limits().upstream.max_interim_responses;
    let last = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let interim = "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n".repeat(limit);
    let (framing, received, passed_on) = receive(format!("{interim}{last}").as_bytes());
    assert_eq!(received, Ok(ReceivedBytes::WithinResponse));
    assert!(framing.is_idle() && passed_on == last.as_bytes());
    let (_, received, _) = receive(format!("{interim}HTTP/1.1 100 Go\r\n\r\n{last}").as_bytes());
    assert_eq!(received, Err("too many interim answers".to_owned()));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn a_malformed_head_fails_with_the_reason() {
    let unreadable = "the head of an answer cannot be read";
    let length = "an answer's length is none, or too long";
    let coding = "an answer's transfer coding is not chunked";
    let cases = [
        ("SSH-2.0-server\r\n\r\n".to_owned(), unreadable),
        (
            format!("HTTP/1.1 200 OK\r\nA: {}", "a".repeat(17_000)),
            unreadable,
        ),
        (
            "HTTP/1.1 101 Switch\r\n\r\n".to_owned(),
            "too many interim answers",
        ),
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
            "an answer's length is given twice",
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            "an answer's length is given twice",
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
