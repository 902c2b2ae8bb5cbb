//! Parses the head of a response and finds out how its body ends (RFC 9112, section 6.3). Keeps
//! nothing between calls.

use std::{fmt, io};

use crate::limits::Limits;

/// Headers that a response may have; one with more cannot be read.
const MAX_RESPONSE_HEADERS: usize = 64;
/// The minor version that [`httparse`] gives for HTTP/1.1, the first version with chunks.
const HTTP_1_1: u8 = 1;

/// How the body of a final response ends.
#[derive(Clone, Copy)]
pub(super) enum BodyEnd {
    /// After so many bytes.
    Length(usize),
    /// By its last chunk.
    Chunks,
    /// With the connection.
    ConnectionClose,
}

/// What the bytes received so far amount to.
pub(super) enum ParsedHead {
    /// The head's end has not come yet.
    Incomplete,
    /// The head of an interim (1xx) response, `length` bytes long.
    Interim { length: usize, status: u16 },
    /// The head of the final response, `length` bytes long.
    Final { length: usize, body: BodyEnd },
}

/// Why a response cannot be passed on: it breaks the protocol or a limit. The connection's read
/// fails with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedResponse {
    /// The head is no HTTP/1 head, or has more bytes or headers than allowed.
    UnreadableHead,
    /// More interim responses than allowed, or one that switches the protocol.
    TooManyInterimResponses,
    /// `Content-Length` is no number, or above what is allowed.
    InvalidLength,
    /// `Content-Length` is there twice, or together with a transfer coding.
    AmbiguousLength,
    /// A transfer coding that cannot be undone, or chunks in HTTP/1.0.
    UnsupportedCoding,
    /// A body without an announced length is longer than allowed.
    BodyTooLong,
}

impl fmt::Display for MalformedResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::UnreadableHead => "the head of an answer cannot be read",
            Self::TooManyInterimResponses => "too many interim answers",
            Self::InvalidLength => "an answer's length is none, or too long",
            Self::AmbiguousLength => "an answer's length is given twice",
            Self::UnsupportedCoding => "an answer's transfer coding is not chunked",
            Self::BodyTooLong => "an answer does not end",
        })
    }
}

impl std::error::Error for MalformedResponse {}

impl From<MalformedResponse> for io::Error {
    fn from(error: MalformedResponse) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

/// Parses the first head among the bytes received.
///
/// # Errors
/// The head cannot be read, is too long, or leaves the body's end in doubt.
pub(super) fn parse_head(
    received: &[u8],
    limits: &Limits,
) -> Result<ParsedHead, MalformedResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_RESPONSE_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(received) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial)
            if received.len() < limits.upstream.max_response_head_bytes =>
        {
            return Ok(ParsedHead::Incomplete);
        }
        _ => return Err(MalformedResponse::UnreadableHead),
    };
    let status = response.code.unwrap_or_default();
    if (100..200).contains(&status) {
        return Ok(ParsedHead::Interim { length, status });
    }
    let body = body_end(&response, limits)?;
    Ok(ParsedHead::Final { length, body })
}

/// How the body of a final response ends, where its head leaves no doubt of it.
fn body_end(
    response: &httparse::Response<'_, '_>,
    limits: &Limits,
) -> Result<BodyEnd, MalformedResponse> {
    let named = |name: &'static str| {
        response
            .headers
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
    };
    let mut lengths = named("content-length");
    let mut codings = named("transfer-encoding");
    match (lengths.next(), lengths.next(), codings.next()) {
        (Some(length), None, None) => {
            content_length(length.value, limits.max_body_bytes).map(BodyEnd::Length)
        }
        (None, None, None) if matches!(response.code, Some(204 | 304)) => Ok(BodyEnd::Length(0)),
        (None, None, None) => Ok(BodyEnd::ConnectionClose),
        (None, None, Some(coding)) => {
            let is_only_coding = codings.next().is_none();
            if is_only_coding && is_chunked(coding) && response.version == Some(HTTP_1_1) {
                Ok(BodyEnd::Chunks)
            } else {
                Err(MalformedResponse::UnsupportedCoding)
            }
        }
        _ => Err(MalformedResponse::AmbiguousLength),
    }
}

/// True for the one transfer coding that is undone here. With another one, as with chunks in
/// HTTP/1.0, server and sidecar would not see the body end at the same byte.
fn is_chunked(coding: &httparse::Header<'_>) -> bool {
    coding.value.trim_ascii().eq_ignore_ascii_case(b"chunked")
}

fn content_length(value: &[u8], max_length: usize) -> Result<usize, MalformedResponse> {
    let only_digits = value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| only_digits)
        .and_then(|text| text.parse().ok())
        .filter(|&length: &usize| length <= max_length)
        .ok_or(MalformedResponse::InvalidLength)
}
