//! Message framing of a client's input: determines which of the bytes that follow belong to the
//! current request (RFC 9112, sections 6 and 7).
//!
//! # Invariant
//! actix-http gets the bytes of one request at a time, from the first byte of its head to the last
//! byte of its body; the next request's bytes are held back until the response is written. It parses
//! all requests that it gets at once, and a parsed request of 20 bytes takes some kilobytes.
//!
//! # Failure modes and symptoms
//! - This file ends a request before actix-http does: the request waits for input that is held
//!   back, until its read timeout (`clients_timed_out`).
//! - It ends a request after actix-http does: memory grows with the number of requests that a client
//!   sends without waiting for responses.
//!
//! The unit tests compare the framing with that of whole messages, in any pieces.

#[cfg(test)]
mod tests;

use crate::chunked_body::ChunkedBody;

/// How the body of a request is delimited, according to its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyDelimiter {
    /// By its length in bytes; 0 without a body.
    Length(usize),
    /// By its last chunk.
    LastChunk,
}

/// The position within the current request.
#[derive(Debug)]
enum Position {
    Head(HeadPosition),
    /// The head has ended. How the body is delimited is not known yet.
    AfterHead,
    SizedBody {
        remaining_bytes: usize,
    },
    ChunkedBody(ChunkedBody),
    /// The request has ended.
    AfterRequest,
}

/// The position within a head.
#[derive(Clone, Copy, Debug, Default)]
struct HeadPosition {
    /// Bytes so far; empty lines before the request line do not count.
    bytes: usize,
    /// Only the end of the previous line has been seen of the current line.
    is_line_empty: bool,
}

/// The framing of the input of one connection.
#[derive(Debug)]
pub(super) struct RequestFraming {
    position: Position,
}

impl Default for RequestFraming {
    fn default() -> Self {
        Self {
            position: Position::Head(HeadPosition::default()),
        }
    }
}

impl RequestFraming {
    /// Takes bytes that follow those taken before; returns how many of them belong to the current
    /// request, and, while its head or body is incomplete, may be passed on. 0 after the head until
    /// the delimiter of the body is known, and after the request.
    pub(super) fn take(&mut self, bytes: &[u8]) -> usize {
        match &mut self.position {
            Position::Head(head) => {
                let (taken, has_ended) = head.take(bytes);
                if has_ended {
                    self.position = Position::AfterHead;
                }
                taken
            }
            Position::SizedBody { remaining_bytes } => {
                let taken = bytes.len().min(*remaining_bytes);
                let remaining_bytes = *remaining_bytes - taken;
                self.position = Position::sized_body(remaining_bytes);
                taken
            }
            Position::ChunkedBody(body) => {
                let taken = body.take(bytes);
                if body.has_ended() {
                    self.position = Position::AfterRequest;
                }
                taken
            }
            Position::AfterHead | Position::AfterRequest => 0,
        }
    }

    /// Records how the body is delimited; has no effect unless the head has just ended.
    pub(super) fn on_body_delimiter(&mut self, delimiter: BodyDelimiter) {
        if !self.awaits_delimiter() {
            return;
        }
        self.position = match delimiter {
            BodyDelimiter::Length(bytes) => Position::sized_body(bytes),
            BodyDelimiter::LastChunk => Position::ChunkedBody(ChunkedBody::default()),
        };
    }

    /// Continues the head after its supposed end: actix-http has not recognised it as the end.
    pub(super) fn continue_head(&mut self) {
        self.position = Position::Head(HeadPosition::default());
    }

    /// Begins the next request.
    pub(super) fn begin_request(&mut self) {
        self.position = Position::Head(HeadPosition::default());
    }

    /// True between the end of a head and the record of its body's delimiter.
    pub(super) fn awaits_delimiter(&self) -> bool {
        matches!(self.position, Position::AfterHead)
    }

    /// True after the end of a request.
    pub(super) fn is_after_request(&self) -> bool {
        matches!(self.position, Position::AfterRequest)
    }

    /// How many bytes of the current head were taken; 0 outside a head.
    pub(super) fn head_bytes(&self) -> usize {
        match &self.position {
            Position::Head(head) => head.bytes,
            _ => 0,
        }
    }

    /// How many bytes may be read without reading past the request, where that is known.
    pub(super) fn body_bytes_left(&self) -> Option<usize> {
        match &self.position {
            Position::SizedBody { remaining_bytes } => Some(*remaining_bytes),
            _ => None,
        }
    }
}

impl Position {
    fn sized_body(remaining_bytes: usize) -> Self {
        if remaining_bytes == 0 {
            Self::AfterRequest
        } else {
            Self::SizedBody { remaining_bytes }
        }
    }
}

impl HeadPosition {
    /// Takes bytes up to the empty line that ends the head; returns their number, and whether the
    /// head has ended. As in the HTTP library, a line ends in CRLF or LF, and empty lines before the
    /// request line are skipped.
    fn take(&mut self, bytes: &[u8]) -> (usize, bool) {
        for (index, &byte) in bytes.iter().enumerate() {
            let is_before_request_line = self.bytes == 0 && matches!(byte, b'\r' | b'\n');
            if is_before_request_line {
                continue;
            }
            self.bytes += 1;
            match byte {
                b'\n' if self.is_line_empty => return (index + 1, true),
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        (bytes.len(), false)
    }
}
