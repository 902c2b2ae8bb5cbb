//! Parses the head of a response and determines the framing of its body (RFC 9112, section 6.3).
//! Stateless.

use std::{fmt, io};

use crate::limits::Limits;

/// Maximum number of headers in a response; parsing fails on one with more.
const MAX_RESPONSE_HEADERS: usize = 64;
/// The value of [`httparse::Response::version`] for HTTP/1.1, the first version with chunks.
const HTTP_1_1: u8 = 1;

/// How the end of a final response's body is determined.
#[derive(Clone, Copy)]
pub(super) enum BodyFraming {
    /// After this many bytes: `Content-Length`, or 0 for a status without a body.
    ContentLength(usize),
    /// At the last chunk.
    Chunked,
    /// When the connection is closed.
    ConnectionClose,
}

/// The result of parsing the bytes received so far.
pub(super) enum ParsedHead {
    /// The end of the head has not been received yet.
    Incomplete,
    /// The head of an interim (1xx) response, `length` bytes long.
    Interim { length: usize, status: u16 },
    /// The head of the final response, `length` bytes long.
    Final {
        length: usize,
        status: u16,
        body: BodyFraming,
    },
}

/// Why a response is not passed on: it violates HTTP or exceeds a limit. The read from the
/// connection fails with this error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MalformedResponse {
    /// The head is not a valid HTTP/1 head, or exceeds the limit on bytes or on headers.
    InvalidHead,
    /// More interim (1xx) responses than the limit, or a 101 (Switching Protocols) response.
    TooManyInterimResponses,
    /// `Content-Length` is not a decimal number, or exceeds the limit.
    InvalidContentLength,
    /// `Content-Length` occurs more than once, or together with `Transfer-Encoding`.
    AmbiguousBodyLength,
    /// A transfer coding other than a single `chunked`, or `chunked` in HTTP/1.0.
    UnsupportedTransferCoding,
    /// A body without `Content-Length` exceeds the limit.
    BodyTooLong,
    /// A chunked body with trailers.
    Trailers,
    /// More bytes than `Content-Length` says, which do not begin a second response.
    BytesPastEnd,
}

impl fmt::Display for MalformedResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::InvalidHead => "invalid response head",
            Self::TooManyInterimResponses => "too many interim responses, or a protocol switch",
            Self::InvalidContentLength => "invalid or too large Content-Length in response",
            Self::AmbiguousBodyLength => "ambiguous body length in response",
            Self::UnsupportedTransferCoding => "unsupported transfer coding in response",
            Self::BodyTooLong => "response body without Content-Length is too long",
            Self::Trailers => "trailers in response",
            Self::BytesPastEnd => "response is longer than its Content-Length",
        })
    }
}

impl std::error::Error for MalformedResponse {}

impl From<MalformedResponse> for io::Error {
    fn from(error: MalformedResponse) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

/// Parses the first head in the received bytes.
///
/// # Errors
/// The head is invalid or too long, or does not determine the end of the body unambiguously.
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
        _ => return Err(MalformedResponse::InvalidHead),
    };
    let status = response.code.unwrap_or_default();
    if (100..200).contains(&status) {
        return Ok(ParsedHead::Interim { length, status });
    }
    let body = body_framing(&response, limits)?;
    Ok(ParsedHead::Final {
        length,
        status,
        body,
    })
}

/// The framing of a final response's body. Fails if the head does not determine it unambiguously.
fn body_framing(
    response: &httparse::Response<'_, '_>,
    limits: &Limits,
) -> Result<BodyFraming, MalformedResponse> {
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
            content_length(length.value, limits.max_body_bytes).map(BodyFraming::ContentLength)
        }
        (None, None, None) if matches!(response.code, Some(204 | 304)) => {
            Ok(BodyFraming::ContentLength(0))
        }
        (None, None, None) => Ok(BodyFraming::ConnectionClose),
        (None, None, Some(coding)) => {
            let is_only_coding = codings.next().is_none();
            if is_only_coding && is_chunked(coding) && response.version == Some(HTTP_1_1) {
                Ok(BodyFraming::Chunked)
            } else {
                Err(MalformedResponse::UnsupportedTransferCoding)
            }
        }
        _ => Err(MalformedResponse::AmbiguousBodyLength),
    }
}

/// True for `chunked`, the only transfer coding that the sidecar decodes. With any other coding, as
/// with chunks in HTTP/1.0, server and sidecar would disagree on the last byte of the body.
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
        .ok_or(MalformedResponse::InvalidContentLength)
}
