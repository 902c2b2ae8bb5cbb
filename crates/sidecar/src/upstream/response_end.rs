//! Decides whether a response of known length is whole, by the bytes that have arrived behind its
//! end. Stateless.
//!
//! A server may send a second copy of its response, and then the first one is whole. If it sends
//! anything else, the body may be longer than `Content-Length` says, and what would be passed on may
//! be only its first part. Noise behind a whole response looks the same, so that is not passed on
//! either.

use super::response_head::{BodyFraming, ParsedHead, parse_head};
use crate::limits::Limits;

/// The status and the body length of a response, by which a second copy of it is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseSummary {
    /// The status of the final response.
    pub status: u16,
    /// Length of the body in bytes, according to the head.
    pub body_length: usize,
}

/// What has arrived behind the end of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BytesPastEnd {
    /// Nothing.
    None,
    /// A second copy of the response: the response is whole, the connection must not be reused.
    SecondCopy,
    /// Anything else: the response may be cut off.
    Unexplained,
}

/// Classifies the bytes behind the end of the response with this summary.
///
/// They are a second copy if they begin with a complete head that has the same status and the same
/// length. The rest of a body passes for one only if it contains such a head, at the very place at
/// which the wrong length ends.
pub(super) fn classify_bytes_past_end(
    bytes: &[u8],
    response: ResponseSummary,
    limits: &Limits,
) -> BytesPastEnd {
    if bytes.is_empty() {
        return BytesPastEnd::None;
    }
    match parse_head(bytes, limits) {
        Ok(ParsedHead::Final {
            status,
            body: BodyFraming::ContentLength(body_length),
            ..
        }) if response
            == (ResponseSummary {
                status,
                body_length,
            }) =>
        {
            BytesPastEnd::SecondCopy
        }
        _ => BytesPastEnd::Unexplained,
    }
}

#[cfg(test)]
mod tests;
