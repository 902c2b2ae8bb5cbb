//! Parses the heads of requests and responses.

use std::io;

use super::{Message, invalid_data};

/// Maximum number of header fields in a message; the sidecar and the emulator send about ten.
const MAX_HEADERS: usize = 64;

/// Parses the head of a request, with its length in bytes; `None` while the head is incomplete.
pub(super) fn parse_request_head(buffer: &[u8]) -> io::Result<Option<(usize, Message)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let status = request
        .parse(buffer)
        .map_err(|_| invalid_data("malformed request head"))?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let message = Message {
        target: request.path.unwrap_or_default().to_owned(),
        headers: owned_headers(request.headers),
        ..Message::default()
    };
    Ok(Some((length, message)))
}

/// Parses the head of a response, with its length in bytes; `None` while the head is incomplete.
pub(super) fn parse_response_head(buffer: &[u8]) -> io::Result<Option<(usize, Message)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let status = response
        .parse(buffer)
        .map_err(|_| invalid_data("malformed response head"))?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let message = Message {
        status: response.code.unwrap_or_default(),
        headers: owned_headers(response.headers),
        ..Message::default()
    };
    Ok(Some((length, message)))
}

fn owned_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    headers
        .iter()
        .map(|header| (header.name.to_owned(), text(header.value)))
        .collect()
}
