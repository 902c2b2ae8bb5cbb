//! A connection to a server as awc sees it: one socket, whose writes are counted for the request
//! and whose reads end with its response.
//!
//! # Invariant
//! Every byte that awc reads belongs to the response to the request that the current task sends,
//! and every byte that the socket accepts is recorded in that request's `WriteProgress` before awc
//! learns of it. A connection that may still bring something else is not used again: awc's read
//! ahead of the next request finds it closed, and the pool takes another one. The permit is held
//! for as long as the descriptor is.
//!
//! # How it breaks, and what shows it
//! - A connection is used again though a second response is on its way, because the reuse delay is
//!   too short or [`TrackedStream::is_reusable`] is not asked: a client gets another request's
//!   body. No counter shows that, only the client's complaint; ask it for both request ids, and
//!   compare the delay with what the server sends (`reuse_delay`).
//! - A write that is not recorded: a request that was sent and got no response counts as one that
//!   was never sent. `attempts_connect_failed` rises in place of `attempts_reset`, and requests
//!   that must not be repeated are. This is what happens should awc move a connection to a task of
//!   its own, where [`CURRENT_WRITE`] is not set: look here first after an upgrade of awc.
//! - A connection that is never found reusable: `connections_opened` rises as fast as
//!   `attempts_started`. One that is reused after the server's idle timeout: `attempts_reset` rises
//!   for requests behind a pause.
//!
//! The recordings of second, late and trailing responses and of reused connections hold this.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::connection_limiter::ConnectionPermit;
use super::response_framing::{ReceivedBytes, ResponseFraming};
use super::write_progress::CURRENT_WRITE;
use crate::counters::Counters;
use crate::limits::Limits;

/// Bytes read at a time while the head of a response is awaited. They are on the stack.
const HEAD_READ_BYTES: usize = 1024;

/// A connection that reports to the current task's request what was written of it, and passes on
/// its response alone.
pub(super) struct TrackedStream {
    /// `None` once the connection must not be used any more; reads then find its end.
    stream: Option<TcpStream>,
    framing: ResponseFraming,
    /// When its last response was complete.
    response_ended_at: Option<Instant>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
    _permit: ConnectionPermit,
}

impl std::fmt::Debug for TrackedStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.stream.fmt(formatter)
    }
}

impl TrackedStream {
    /// For a connection that has just come up; it counts as open until it is dropped.
    pub(super) fn new(
        stream: TcpStream,
        permit: ConnectionPermit,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> Self {
        Self {
            stream: Some(stream),
            framing: ResponseFraming::default(),
            response_ended_at: None,
            limits,
            counters,
            _permit: permit,
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
    fn poll_response(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if is_next_request_unwritten() && !self.is_reusable() {
            self.stream = None;
        }
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

/// True where the current task is about to send a request: awc then reads to see whether the
/// connection is still open.
fn is_next_request_unwritten() -> bool {
    CURRENT_WRITE
        .try_with(|progress| progress.started_at().is_none())
        .unwrap_or(false)
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = output.filled().len();
        let read = self.poll_response(context, output);
        let any_read = matches!(read, Poll::Ready(Ok(()))) && output.filled().len() > filled_before;
        if read.is_ready() && !any_read {
            let _ = CURRENT_WRITE.try_with(|progress| progress.on_connection_ended());
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = CURRENT_WRITE.try_with(Rc::clone).ok();
        if let Some(progress) = &progress {
            if let Err(blocked) = progress.check_first_byte(&self.limits) {
                self.counters.on_attempt_blocked(blocked);
                return Poll::Ready(Err(io::Error::other(blocked.reason())));
            }
            if progress.started_at().is_none() {
                self.framing = ResponseFraming::awaiting_head();
            }
        }
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        let wrote = Pin::new(stream).poll_write(context, bytes);
        if let (Poll::Ready(Ok(count)), Some(progress)) = (&wrote, progress) {
            progress.on_written(bytes.get(..*count).unwrap_or(bytes));
        }
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().map_or(Poll::Ready(Ok(())), |stream| {
            Pin::new(stream).poll_flush(context)
        })
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().map_or(Poll::Ready(Ok(())), |stream| {
            Pin::new(stream).poll_shutdown(context)
        })
    }
}

impl ActixStream for TrackedStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        let closed = || Poll::Ready(Ok(Ready::READ_CLOSED));
        self.stream.as_ref().map_or_else(closed, |stream| {
            ActixStream::poll_read_ready(stream, context)
        })
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        let closed = || Poll::Ready(Ok(Ready::WRITE_CLOSED));
        self.stream.as_ref().map_or_else(closed, |stream| {
            ActixStream::poll_write_ready(stream, context)
        })
    }
}
