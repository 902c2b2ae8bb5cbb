//! Which of the bytes that a connection brings belong to the response that is awaited on it (RFC
//! 9112, section 6).
//!
//! # Invariant
//! Of the bytes that follow a request, one final response is passed on, from the first byte of its
//! head to the last of its body. Interim responses ahead of it and bytes behind it are not. A head
//! whose end, or whose body's end, is in doubt passes on nothing, and no head or body is read past
//! its limit. [`ResponseFraming::is_idle`] holds exactly while no byte is awaited, so a connection
//! that brings more than its response is known and is not reused. awc does none of this: it takes
//! an interim response for the final one and puts a connection with bytes left over back into its
//! pool.
//!
//! # How it breaks, and what shows it
//! - This file and awc disagree on where a body ends, for one kind of response (chunks, no length,
//!   status 204 or 304). If this file ends it first, what lies behind is dropped with the
//!   connection, and the attempt counts as `attempts_reset` although its server has answered. If
//!   awc ends it first, the connection returns to the pool as if more of the body were to come,
//!   without its reuse delay.
//! - A server that sends what is refused here ([`MalformedResponse`]) shows as `attempts_reset`,
//!   and as `health_checks_failed` where it answers those alike, though it reports to have served.
//!   Nothing is logged for each response: take a capture of one exchange and read its head.
//! - A response whose end is missed leaves bytes for the next one. See `tracked_stream` for what a
//!   client then gets.
//!
//! The unit tests hold the framing byte by byte; the recordings hold it together with awc.

use bytes::{Buf as _, BytesMut};
use tokio::io::ReadBuf;

use super::response_head::{BodyEnd, MalformedResponse, ParsedHead, parse_head};
use crate::limits::Limits;

/// The status that changes the protocol of the connection; nothing here asks for that.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Where the reading of a response stands.
#[derive(Default)]
enum FramingState {
    /// No response is awaited: no request is open, or its response has been read.
    #[default]
    Idle,
    /// The head of the final response is awaited.
    Head,
    /// The body's length is known; so many bytes of it are still to come.
    SizedBody(usize),
    /// The body ends by chunks or with the connection; so many bytes are still allowed.
    UnsizedBody(usize),
}

/// Whether bytes of a connection belong to the response that is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceivedBytes {
    /// All of them do.
    WithinResponse,
    /// Some come behind its end: the connection must not be used again.
    BeyondResponse,
}

/// The framing of the response that is awaited on one connection.
#[derive(Default)]
pub(super) struct ResponseFraming {
    state: FramingState,
    /// Interim responses that have come ahead of the final one.
    interim_responses: usize,
    /// What of the response has been received and not been passed on.
    buffered: BytesMut,
}

impl ResponseFraming {
    /// For a connection on which a request is about to be written.
    pub(super) fn awaiting_head() -> Self {
        Self {
            state: FramingState::Head,
            ..Self::default()
        }
    }

    /// True while the head of the final response is awaited.
    pub(super) fn is_in_head(&self) -> bool {
        matches!(self.state, FramingState::Head)
    }

    /// True where no response is awaited.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, FramingState::Idle)
    }

    /// True where the body has no announced length, so that awc finds its end.
    pub(super) fn is_in_unsized_body(&self) -> bool {
        matches!(self.state, FramingState::UnsizedBody(_))
    }

    /// How many bytes of the body may still come; `None` where no body is awaited.
    pub(super) fn body_bytes_left(&self) -> Option<usize> {
        match self.state {
            FramingState::Idle | FramingState::Head => None,
            FramingState::SizedBody(left) | FramingState::UnsizedBody(left) => Some(left),
        }
    }

    /// Moves buffered bytes of the final response to `output`; false where there are none.
    pub(super) fn pass_on_buffered(&mut self, output: &mut ReadBuf<'_>) -> bool {
        if self.is_in_head() || self.buffered.is_empty() {
            return false;
        }
        let length = self.buffered.len().min(output.remaining());
        output.put_slice(&self.buffered.split_to(length));
        true
    }

    /// Takes bytes that were read while the head was awaited.
    ///
    /// # Errors
    /// The head cannot be read, is too long, comes behind too many interim responses, or leaves the
    /// body's end in doubt.
    pub(super) fn on_head_bytes(
        &mut self,
        bytes: &[u8],
        limits: &Limits,
    ) -> Result<ReceivedBytes, MalformedResponse> {
        self.buffered.extend_from_slice(bytes);
        loop {
            match parse_head(&self.buffered, limits)? {
                ParsedHead::Incomplete => return Ok(ReceivedBytes::WithinResponse),
                ParsedHead::Interim { length, status } => {
                    self.on_interim_response(status, limits)?;
                    self.buffered.advance(length);
                }
                ParsedHead::Final { length, body } => {
                    return Ok(self.on_final_head(length, body, limits));
                }
            }
        }
    }

    fn on_interim_response(
        &mut self,
        status: u16,
        limits: &Limits,
    ) -> Result<(), MalformedResponse> {
        self.interim_responses += 1;
        let too_many = self.interim_responses > limits.upstream.max_interim_responses;
        if status == SWITCHING_PROTOCOLS || too_many {
            return Err(MalformedResponse::TooManyInterimResponses);
        }
        Ok(())
    }

    fn on_final_head(
        &mut self,
        head_length: usize,
        body: BodyEnd,
        limits: &Limits,
    ) -> ReceivedBytes {
        match body {
            BodyEnd::Length(length) => return self.on_sized_body(head_length, length),
            BodyEnd::Chunks => {}
            BodyEnd::ConnectionClose => self.set_version_1_0(),
        }
        self.state = FramingState::UnsizedBody(limits.upstream.max_unsized_response_bytes);
        ReceivedBytes::WithinResponse
    }

    /// Drops what is buffered behind the body's end.
    fn on_sized_body(&mut self, head_length: usize, body_length: usize) -> ReceivedBytes {
        let received = self.buffered.len() - head_length;
        self.buffered.truncate(head_length + body_length);
        self.state = if received >= body_length {
            FramingState::Idle
        } else {
            FramingState::SizedBody(body_length - received)
        };
        if received <= body_length {
            ReceivedBytes::WithinResponse
        } else {
            ReceivedBytes::BeyondResponse
        }
    }

    /// Makes awc read a body that ends with its connection. It takes a response that has neither a
    /// length nor chunks for one without a body, except in HTTP/1.0, where it reads to the end of
    /// the connection.
    fn set_version_1_0(&mut self) {
        let version = self
            .buffered
            .iter()
            .position(|&byte| byte == b'/')
            .unwrap_or_default();
        self.buffered[version..version + 4].copy_from_slice(b"/1.0");
    }

    /// Counts bytes of the body that were passed on without being buffered.
    ///
    /// # Errors
    /// A body without an announced length is longer than allowed.
    pub(super) fn on_body_bytes(&mut self, count: usize) -> Result<(), MalformedResponse> {
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

#[cfg(test)]
mod tests;
