//! Messages are read with their bodies, and malformed messages are errors.

use std::io::{self, ErrorKind, Write as _};
use std::net::TcpListener;

use tokio::net::TcpStream;

use super::{HttpConnection, MAX_MESSAGE_BYTES, Message, format_response, parse_response_head};

/// Parses `head` and appends `body` as it is.
pub(in crate::emulator) fn parse_response(head: &str, body: &str) -> Message {
    let (_, mut message) = parse_response_head(head.as_bytes())
        .expect("a response")
        .expect("complete");
    message.body.extend_from_slice(body.as_bytes());
    message
}

/// A connection whose peer has sent `text` and then closed it.
async fn connection_with(text: &str) -> HttpConnection {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free");
    let address = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(address).await.expect("connects");
    let (mut peer, _) = listener.accept().expect("accepted");
    peer.write_all(text.as_bytes()).expect("sent");
    HttpConnection::new(stream)
}

async fn read_response(text: &str) -> io::Result<Message> {
    connection_with(text).await.read_response().await
}

#[tokio::test]
async fn consecutive_requests_on_a_connection_are_read_one_by_one() {
    let text = "POST /api?w=12.5&c=3 HTTP/1.1\r\nX-Request-ID: ab\r\nContent-Length: 3\r\n\r\nxyz\
                GET /status/load HTTP/1.1\r\n\r\n";
    let mut connection = connection_with(text).await;
    assert!(connection.has_next_message().await.expect("open"));
    let first = connection.read_request().await.expect("read");
    assert_eq!(first.query_parameter("w"), Some("12.5"));
    assert_eq!(first.query_parameter("c"), Some("3"));
    assert_eq!(first.query_parameter("x"), None);
    assert_eq!(first.header("x-request-id"), Some("ab"));
    assert_eq!(&first.body[..], b"xyz");
    let second = connection.read_request().await.expect("read");
    assert_eq!(second.target, "/status/load");
    assert!(!connection.has_next_message().await.expect("closed"));
}

#[tokio::test]
async fn responses_are_read_with_content_length_and_chunked_bodies() {
    let text = format_response("200 OK", "Retry-After: 1\r\n", "done\n");
    let message = read_response(&text).await.expect("read");
    assert_eq!((message.status, &message.body[..]), (200, &b"done\n"[..]));
    assert_eq!(message.header("retry-after"), Some("1"));
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n";
    let message = read_response(text).await.expect("read");
    assert_eq!(&message.body[..], b"abc0123456789");
}

#[tokio::test]
async fn malformed_oversized_and_truncated_responses_are_errors() {
    let too_long = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        MAX_MESSAGE_BYTES + 1
    );
    let huge_chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n";
    for (text, kind) in [
        ("HTTP/1.1 2oo OK\r\n\r\n", ErrorKind::InvalidData),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n",
            ErrorKind::InvalidData,
        ),
        ("HTTP/1.1 200 OK\r\n\r\n", ErrorKind::InvalidData),
        (too_long.as_str(), ErrorKind::InvalidData),
        (huge_chunk, ErrorKind::InvalidData),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
            ErrorKind::UnexpectedEof,
        ),
        ("", ErrorKind::UnexpectedEof),
    ] {
        let error = read_response(text).await.expect_err("no response");
        assert_eq!(error.kind(), kind, "{text:?}");
    }
}
