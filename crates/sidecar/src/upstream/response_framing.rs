//! Message framing: determines which bytes received on a connection belong to the pending response
//! (RFC 9112, section 6).
//!
//! # Invariant
//! Of the bytes received after a request, exactly one final response is passed on, from the first
//! byte of its head to the last byte of its body. Interim responses before it and a second copy
//! after it are dropped. If the end of the head or of the body cannot be determined unambiguously,
//! nothing is passed on, and no head or body is read past its limit. The last byte of a response of
//! known length is passed on only after [`ResponseFraming::bytes_past_end`] has been asked.
//! [`ResponseFraming::is_idle`] is true exactly while no byte is expected, so a connection that
//! delivers more than its response is detected and not reused. awc does none of this: it takes an
//! interim response for the final one and returns a connection with leftover bytes to its pool.
//!
//! # Failure modes and symptoms
//! - This file and awc disagree on the end of a body, for one kind of response (chunks, no length,
//!   status 204 or 304). If this file ends the body first, the rest is dropped with the connection,
//!   and the attempt counts as `attempts_reset` although its server has responded. If awc ends it
//!   first, the connection returns to the pool without its reuse delay, as if more of the body were
//!   still expected.
//! - The responses of a server are refused here ([`MalformedResponse`]): `attempts_reset` rises,
//!   although the server reports that it has served the requests. If its responses to health checks
//!   are malformed too, `health_checks_failed` also rises. Individual responses are not logged:
//!   capture the traffic of one exchange and inspect the response head.
//! - If the end of a response is missed, its remaining bytes are read as the next response. See
//!   `tracked_stream` for what a client then gets.
//!
//! The unit tests check the framing byte by byte; the recordings check it together with awc.

use bytes::{Buf as _, BytesMut};
use tokio::io::ReadBuf;

use super::response_end::{BytesPastEnd, ResponseSummary, classify_bytes_past_end};
use super::response_head::{BodyFraming, MalformedResponse, ParsedHead, parse_head};
use crate::chunked_body::ChunkedBody;
use crate::limits::Limits;

/// The status that switches the connection to another protocol; the sidecar never requests that.
const SWITCHING_PROTOCOLS: u16 = 101;

/// The state of reading one response.
#[derive(Default)]
enum FramingState {
    /// No response is pending: no request has been sent, or its response is complete.
    #[default]
    Idle,
    /// Reading the head of the final response.
    Head,
    /// Reading a body of known length; this many bytes remain.
    SizedBody(usize),
    /// Reading a body that ends with its last chunk or with the connection; this many bytes remain
    /// until the limit.
    UnsizedBody(usize),
}

/// The framing of the pending response on one connection.
#[derive(Default)]
pub(super) struct ResponseFraming {
    state: FramingState,
    /// Number of interim responses received before the final one.
    interim_response_count: usize,
    /// Bytes of the response that have been received and not passed on yet.
    buffered: BytesMut,
    /// The final response, once its head has given the length of its body.
    sized_response: Option<ResponseSummary>,
    /// Bytes that were received behind the end of that response.
    past_end: BytesMut,
    /// The framing of the body, if it is chunked.
    chunked_body: Option<ChunkedBody>,
}

impl ResponseFraming {
    /// Creates the state for a connection on which a request is about to be written.
    pub(super) fn awaiting_head() -> Self {
        Self {
            state: FramingState::Head,
            ..Self::default()
        }
    }

    /// True until the head of the final response is complete.
    pub(super) fn is_reading_head(&self) -> bool {
        matches!(self.state, FramingState::Head)
    }

    /// True if no response is pending.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, FramingState::Idle)
    }

    /// True while reading a body without `Content-Length`, whose end only awc detects.
    pub(super) fn is_reading_unsized_body(&self) -> bool {
        matches!(self.state, FramingState::UnsizedBody(_))
    }

    /// How many more bytes of the body may be read; `None` if no body is being read.
    pub(super) fn body_bytes_left(&self) -> Option<usize> {
        match self.state {
            FramingState::Idle | FramingState::Head => None,
            FramingState::SizedBody(left) | FramingState::UnsizedBody(left) => Some(left),
        }
    }

    /// Moves buffered bytes of the final response to `output`; false if there are none.
    pub(super) fn move_buffered_to(&mut self, output: &mut ReadBuf<'_>) -> bool {
        if self.is_reading_head() || self.buffered.is_empty() {
            return false;
        }
        let length = self.buffered.len().min(output.remaining());
        output.put_slice(&self.buffered.split_to(length));
        true
    }

    /// Adds bytes that were received behind the end of the response.
    pub(super) fn on_bytes_past_end(&mut self, bytes: &[u8]) {
        self.past_end.extend_from_slice(bytes);
    }

    /// What has been received behind the end of a response of known length.
    pub(super) fn bytes_past_end(&self, limits: &Limits) -> BytesPastEnd {
        self.sized_response.map_or(BytesPastEnd::None, |response| {
            classify_bytes_past_end(&self.past_end, response, limits)
        })
    }

    /// Processes bytes that were read while the head was incomplete.
    ///
    /// # Errors
    /// The head is invalid or too long, follows too many interim responses, or does not determine
    /// the end of the body unambiguously.
    pub(super) fn on_head_bytes(
        &mut self,
        bytes: &[u8],
        limits: &Limits,
    ) -> Result<(), MalformedResponse> {
        self.buffered.extend_from_slice(bytes);
        loop {
            match parse_head(&self.buffered, limits)? {
                ParsedHead::Incomplete => return Ok(()),
                ParsedHead::Interim { length, status } => {
                    self.on_interim_response(status, limits)?;
                    self.buffered.advance(length);
                }
                ParsedHead::Final {
                    length,
                    status,
                    body,
                } => {
                    return self.on_final_head(length, status, body, limits);
                }
            }
        }
    }

    fn on_interim_response(
        &mut self,
        status: u16,
        limits: &Limits,
    ) -> Result<(), MalformedResponse> {
        self.interim_response_count += 1;
        let too_many = self.interim_response_count > limits.upstream.max_interim_responses;
        if status == SWITCHING_PROTOCOLS || too_many {
            return Err(MalformedResponse::TooManyInterimResponses);
        }
        Ok(())
    }

    fn on_final_head(
        &mut self,
        head_length: usize,
        status: u16,
        body: BodyFraming,
        limits: &Limits,
    ) -> Result<(), MalformedResponse> {
        self.state = FramingState::UnsizedBody(limits.upstream.max_unsized_response_bytes);
        match body {
            BodyFraming::ContentLength(body_length) => {
                self.sized_response = Some(ResponseSummary {
                    status,
                    body_length,
                });
                self.on_sized_body(head_length, body_length);
            }
            BodyFraming::Chunked => {
                let mut chunked_body = ChunkedBody::default();
                take_chunks(&mut chunked_body, &self.buffered[head_length..])?;
                self.chunked_body = Some(chunked_body);
            }
            BodyFraming::ConnectionClose => self.rewrite_version_to_1_0(),
        }
        Ok(())
    }

    /// Moves buffered bytes after the end of the body out of the response.
    fn on_sized_body(&mut self, head_length: usize, body_length: usize) {
        let received = self.buffered.len() - head_length;
        if received < body_length {
            self.state = FramingState::SizedBody(body_length - received);
            return;
        }
        self.past_end = self.buffered.split_off(head_length + body_length);
        self.state = FramingState::Idle;
    }

    /// Rewrites the version to HTTP/1.0 so that awc reads a body that ends with its connection. For
    /// a response with neither a length nor chunks awc assumes an empty body, except in HTTP/1.0,
    /// where it reads until the connection is closed.
    fn rewrite_version_to_1_0(&mut self) {
        let version = self
            .buffered
            .iter()
            .position(|&byte| byte == b'/')
            .unwrap_or_default();
        self.buffered[version..version + 4].copy_from_slice(b"/1.0");
    }

    /// Processes bytes of the body that are about to be passed on unbuffered.
    ///
    /// # Errors
    /// A body without `Content-Length` exceeds the limit, or has trailers.
    pub(super) fn on_body_bytes(&mut self, bytes: &[u8]) -> Result<(), MalformedResponse> {
        if let Some(chunked_body) = &mut self.chunked_body {
            take_chunks(chunked_body, bytes)?;
        }
        let count = bytes.len();
        self.state = match self.state {
            FramingState::SizedBody(left) if left > count => FramingState::SizedBody(left - count),
            FramingState::UnsizedBody(left) if left > count => {
                FramingState::UnsizedBody(left - count)
            }
            FramingState::UnsizedBody(_) => return Err(MalformedResponse::BodyTooLong),
            FramingState::Idle | FramingState::Head | FramingState::SizedBody(_) => {
                FramingState::Idle
            }
        };
        Ok(())
    }
}

/// Takes bytes of a chunked body. Trailers fail it: the sidecar asks for none, and the data of a
/// chunk whose size is given as 0 looks like them.
fn take_chunks(chunked_body: &mut ChunkedBody, bytes: &[u8]) -> Result<(), MalformedResponse> {
    chunked_body.take(bytes);
    if chunked_body.has_trailers() {
        Err(MalformedResponse::Trailers)
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
