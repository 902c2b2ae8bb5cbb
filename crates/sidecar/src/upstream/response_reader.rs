//! Reads one response at a time from a connection to a server, and passes on nothing past its end.
//!
//! Before the last byte of a response of known length is passed on, everything that has arrived
//! behind it is looked at: a response that is longer than its length fails. Bytes that arrive later
//! are not waited for. Drops the socket once the connection must not be used any more. `tracked_stream` documents the
//! invariant that depends on this and the symptoms of a violation.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead as _, ReadBuf};
use tokio::time::Instant;

use super::response_end::BytesPastEnd;
use super::response_framing::ResponseFraming;
use super::response_head::MalformedResponse;
use crate::counters::Counters;
use crate::limits::Limits;

/// Size of one read of a response head, in bytes. The buffer is on the stack.
const HEAD_READ_BYTES: usize = 1024;
/// Most bytes that are read behind the end of a response: the head of a second copy fits.
const PAST_END_READ_BYTES: usize = 1024;

/// A connection and the state of reading its response.
pub(super) struct ResponseReader {
    /// `None` once the connection must not be used any more; reads then return end of file.
    stream: Option<TcpStream>,
    framing: ResponseFraming,
    /// When the last response was read to its end.
    response_ended_at: Option<Instant>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

impl ResponseReader {
    /// Creates a reader for a newly established connection.
    pub(super) fn new(stream: TcpStream, limits: Rc<Limits>, counters: Rc<Counters>) -> Self {
        Self {
            stream: Some(stream),
            framing: ResponseFraming::default(),
            response_ended_at: None,
            limits,
            counters,
        }
    }

    /// The socket; `None` once it must not be used any more.
    pub(super) fn stream(&self) -> Option<&TcpStream> {
        self.stream.as_ref()
    }

    /// The socket for writing; `None` once it must not be used any more.
    pub(super) fn stream_mut(&mut self) -> Option<&mut TcpStream> {
        self.stream.as_mut()
    }

    /// Resets the framing for a request that is about to be written: the next bytes received belong
    /// to its response.
    pub(super) fn prepare_for_response(&mut self) {
        self.framing = ResponseFraming::awaiting_head();
    }

    /// Closes the connection if the next request must not be written to it.
    pub(super) fn close_unless_reusable(&mut self) {
        if !self.is_reusable() {
            self.stream = None;
        }
    }

    /// Whether the next request may be written to the connection.
    ///
    /// After a body without `Content-Length` it is unknown whether more bytes followed, and within
    /// the reuse delay a second response may still arrive: either would be read as the response to
    /// the next request. The server may be closing a connection that has been idle for too long.
    /// The pool does not detect such a connection, since it measures the idle time from the return
    /// of the connection to the pool instead of from the end of the response.
    fn is_reusable(&self) -> bool {
        let upstream = &self.limits.upstream;
        let is_outside_reuse_window = self.response_ended_at.is_some_and(|ended_at| {
            let idle = ended_at.elapsed();
            idle < upstream.reuse_delay || idle > upstream.reuse_delay + upstream.idle_reuse_timeout
        });
        !self.framing.is_reading_unsized_body() && !is_outside_reuse_window
    }

    /// Reads until bytes of the response can be passed on.
    pub(super) fn poll_response(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.framing.move_buffered_to(output) {
                return Poll::Ready(Ok(()));
            }
            let Some(stream) = &mut self.stream else {
                return Poll::Ready(Ok(()));
            };
            if self.framing.is_reading_head() {
                ready!(self.poll_head(context))?;
                continue;
            }
            let Some(bytes_left) = self.framing.body_bytes_left() else {
                // No response is pending: the pool drops the connection if bytes arrive anyway.
                return Pin::new(stream).poll_read(context, output);
            };
            return self.poll_body(context, output, bytes_left);
        }
    }

    /// Reads part of the head, and what arrives with it. Closes the connection at an end of file.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Ok(()));
        };
        let mut bytes = [0; HEAD_READ_BYTES];
        let mut head = ReadBuf::new(&mut bytes);
        ready!(Pin::new(stream).poll_read(context, &mut head))?;
        if head.filled().is_empty() {
            self.stream = None;
            return Poll::Ready(Ok(()));
        }
        self.framing.on_head_bytes(head.filled(), &self.limits)?;
        if self.framing.is_idle() {
            self.on_response_end(head.remaining() == 0)?;
        }
        Poll::Ready(Ok(()))
    }

    /// Reads part of the body directly into the output, with room for bytes past its end if that is
    /// known.
    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
        bytes_left: usize,
    ) -> Poll<io::Result<()>> {
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Ok(()));
        };
        let room_past_end = if self.framing.is_reading_unsized_body() {
            0
        } else {
            PAST_END_READ_BYTES
        };
        let length = output.remaining().min(bytes_left + room_past_end);
        let mut received = ReadBuf::new(output.initialize_unfilled_to(length));
        ready!(Pin::new(stream).poll_read(context, &mut received))?;
        let is_read_full = received.remaining() == 0;
        let count = received.filled().len().min(bytes_left);
        let (body, past_end) = received.filled().split_at(count);
        self.framing.on_bytes_past_end(past_end);
        self.framing.on_body_bytes(body)?;
        if self.framing.is_idle() {
            self.on_response_end(is_read_full)?;
        }
        output.advance(count);
        Poll::Ready(Ok(()))
    }

    /// Checks a response of known length whose last byte has been read and not passed on. A read
    /// that did not fill its buffer has taken everything that had arrived; after a full one, more
    /// may lie behind it.
    ///
    /// # Errors
    /// More bytes have arrived than the response's length says, and they are no second copy.
    fn on_response_end(&mut self, is_read_full: bool) -> Result<(), MalformedResponse> {
        self.response_ended_at = Some(Instant::now());
        if is_read_full {
            self.read_past_end();
        }
        let past_end = self.framing.bytes_past_end(&self.limits);
        if past_end != BytesPastEnd::None {
            self.stream = None;
        }
        match past_end {
            BytesPastEnd::None => Ok(()),
            BytesPastEnd::SecondCopy => {
                self.counters.responses_duplicated.inc();
                Ok(())
            }
            BytesPastEnd::Unexplained => {
                self.counters.responses_overlong.inc();
                Err(MalformedResponse::BytesPastEnd)
            }
        }
    }

    /// Reads what has already arrived behind the response. An end of file or a failure of the
    /// connection does not matter: the response is complete.
    fn read_past_end(&mut self) {
        let Some(stream) = &self.stream else { return };
        let mut bytes = [0; PAST_END_READ_BYTES];
        let read = loop {
            match stream.try_read(&mut bytes) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        let count = read.unwrap_or_default();
        self.framing.on_bytes_past_end(&bytes[..count]);
    }
}

#[cfg(test)]
mod tests;
