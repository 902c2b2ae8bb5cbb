//! Heads of requests and responses. Owns their parsing; bodies and connections are the parent's.

use std::io;

use super::{Message, invalid};

/// Header fields of a message beyond which parsing fails; the sidecar and the emulator send about
/// ten.
const MAX_HEADERS: usize = 64;

/// The head of a request and its length in bytes; nothing while it is not complete.
pub(super) fn parse_request_head(buffer: &[u8]) -> io::Result<Option<(usize, Message)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let status = request
        .parse(buffer)
        .map_err(|_| invalid("not a request"))?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let message = Message {
        target: request.path.unwrap_or_default().to_owned(),
        headers: owned(request.headers),
        ..Message::default()
    };
    Ok(Some((length, message)))
}

/// As [`parse_request_head`], of a response.
pub(super) fn parse_response_head(buffer: &[u8]) -> io::Result<Option<(usize, Message)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let status = response
        .parse(buffer)
        .map_err(|_| invalid("not a response"))?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let message = Message {
        status: response.code.unwrap_or_default(),
        headers: owned(response.headers),
        ..Message::default()
    };
    Ok(Some((length, message)))
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    headers
        .iter()
        .map(|header| (header.name.to_owned(), text(header.value)))
        .collect()
}
