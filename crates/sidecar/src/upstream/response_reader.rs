//! Reads one response at a time from a connection to a server, and nothing beyond it.
//!
//! Owns the socket for as long as it may be used. `tracked_stream` has what rests on this, and how
//! it would show that it does not hold.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead as _, ReadBuf};
use tokio::time::Instant;

use super::response_framing::{ReceivedBytes, ResponseFraming};
use crate::limits::Limits;

/// Bytes read at a time while the head of a response is awaited. They are on the stack.
const HEAD_READ_BYTES: usize = 1024;

/// A connection, and where the reading of its response stands.
pub(super) struct ResponseReader {
    /// `None` once the connection must not be used any more; reads then find its end.
    stream: Option<TcpStream>,
    framing: ResponseFraming,
    /// When its last response was complete.
    response_ended_at: Option<Instant>,
    limits: Rc<Limits>,
}

impl ResponseReader {
    /// For a connection that has just come up.
    pub(super) fn new(stream: TcpStream, limits: Rc<Limits>) -> Self {
        Self {
            stream: Some(stream),
            framing: ResponseFraming::default(),
            response_ended_at: None,
            limits,
        }
    }

    /// The socket; `None` once it must not be used any more.
    pub(super) fn stream(&self) -> Option<&TcpStream> {
        self.stream.as_ref()
    }

    /// The socket, to be written to; `None` once it must not be used any more.
    pub(super) fn stream_mut(&mut self) -> Option<&mut TcpStream> {
        self.stream.as_mut()
    }

    /// A request is about to be written: the next bytes are of its response.
    pub(super) fn await_response(&mut self) {
        self.framing = ResponseFraming::awaiting_head();
    }

    /// Closes the connection where the next request must not be written to it.
    pub(super) fn close_unless_reusable(&mut self) {
        if !self.is_reusable() {
            self.stream = None;
        }
    }

    /// Whether the next request may be written to the connection.
    ///
    /// After a body without an announced length it is not known here whether more came behind it,
    /// and within the reuse delay a second response may still be on its way: the next request would
    /// get it as its own. A connection that was idle for too long is one that the server may be
    /// closing just now; the pool does not know, since it counts from when it got the connection
    /// back.
    fn is_reusable(&self) -> bool {
        let upstream = &self.limits.upstream;
        let too_early_or_late = self.response_ended_at.is_some_and(|ended_at| {
            let idle = ended_at.elapsed();
            idle < upstream.reuse_delay || idle > upstream.reuse_delay + upstream.idle_reuse_timeout
        });
        !self.framing.is_in_unsized_body() && !too_early_or_late
    }

    fn note_response_end(&mut self) {
        if self.framing.is_idle() {
            self.response_ended_at = Some(Instant::now());
        }
    }

    /// Reads on until there is something of the response to pass on.
    pub(super) fn poll_response(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.framing.pass_on_buffered(output) {
                return Poll::Ready(Ok(()));
            }
            let Some(stream) = &mut self.stream else {
                return Poll::Ready(Ok(()));
            };
            if self.framing.is_in_head() {
                ready!(self.poll_head(context))?;
                continue;
            }
            return match self.framing.body_bytes_left() {
                Some(bytes_left) => self.poll_body(context, output, bytes_left),
                // No response is awaited: what comes all the same makes the pool drop the
                // connection.
                None => Pin::new(stream).poll_read(context, output),
            };
        }
    }

    /// Reads a part of the head; closes the connection that has ended, or that brings more than its
    /// response.
    fn poll_head(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Ok(()));
        };
        let mut bytes = [0; HEAD_READ_BYTES];
        let mut head = ReadBuf::new(&mut bytes);
        ready!(Pin::new(stream).poll_read(context, &mut head))?;
        let usable = !head.filled().is_empty()
            && self.framing.on_head_bytes(head.filled(), &self.limits)?
                == ReceivedBytes::WithinResponse;
        if !usable {
            self.stream = None;
        }
        self.note_response_end();
        Poll::Ready(Ok(()))
    }

    /// Reads a part of the body straight into the output, and nothing behind the body's end.
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
        self.note_response_end();
        Poll::Ready(Ok(()))
    }
}
