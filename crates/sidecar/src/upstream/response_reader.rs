//! Reads one response at a time from a connection to a server, and nothing past its end.
//!
//! Drops the socket once the connection must not be used any more. `tracked_stream` documents the
//! invariant that depends on this and the symptoms of a violation.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead as _, ReadBuf};
use tokio::time::Instant;

use super::response_framing::{ReceivedBytes, ResponseFraming};
use crate::counters::Counters;
use crate::limits::Limits;

/// Size of one read of a response head, in bytes. The buffer is on the stack.
const HEAD_READ_BYTES: usize = 1024;

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

    fn record_response_end(&mut self) {
        if self.framing.is_idle() {
            self.response_ended_at = Some(Instant::now());
        }
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
            return match self.framing.body_bytes_left() {
                Some(bytes_left) => self.poll_body(context, output, bytes_left),
                // No response is pending: the pool drops the connection if bytes arrive anyway.
                None => Pin::new(stream).poll_read(context, output),
            };
        }
    }

    /// Reads part of the head. Closes the connection if the read returns end of file, or bytes past
    /// the end of the response.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Ok(()));
        };
        let mut bytes = [0; HEAD_READ_BYTES];
        let mut head = ReadBuf::new(&mut bytes);
        ready!(Pin::new(stream).poll_read(context, &mut head))?;
        let received = self.framing.on_head_bytes(head.filled(), &self.limits)?;
        if received == ReceivedBytes::PastResponseEnd {
            self.counters.responses_overlong.inc();
        }
        if head.filled().is_empty() || received == ReceivedBytes::PastResponseEnd {
            self.stream = None;
        }
        self.record_response_end();
        Poll::Ready(Ok(()))
    }

    /// Reads part of the body directly into the output, and nothing past the end of the body.
    fn poll_body(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
        bytes_left: usize,
    ) -> Poll<io::Result<()>> {
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Ok(()));
        };
        let length = output.remaining().min(bytes_left);
        let mut body = ReadBuf::new(output.initialize_unfilled_to(length));
        ready!(Pin::new(stream).poll_read(context, &mut body))?;
        let count = body.filled().len();
        output.advance(count);
        self.framing.on_body_bytes(count)?;
        self.record_response_end();
        Poll::Ready(Ok(()))
    }
}
