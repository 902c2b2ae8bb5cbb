//! The stream type that awc, the HTTP client, uses for a connection to a server. The stream records
//! how much of each request the socket has accepted, and limits what awc reads to the response to
//! that request.
//!
//! # Invariant
//! Every byte that awc takes as part of a response belongs to the response to the request that the
//! current task sends. Every byte that the socket accepts is recorded in that request's
//! `WriteProgress` before awc's write returns.
//!
//! A connection on which other bytes may still arrive is not reused. awc reads from a pooled
//! connection before it writes the next request to it; on such a connection this read drops the
//! socket and returns end of file, so that awc uses another connection.
//!
//! Each connection holds a permit of the [`connection_limiter`](super::connection_limiter) for at
//! least as long as the file descriptor of its socket is open.
//!
//! # Failure modes and symptoms
//! - A connection is reused although a second response may still arrive on it, because the reuse
//!   delay is too short or [`ResponseReader::close_unless_reusable`] is not called: the client of
//!   the next request gets a response to the previous one. No counter shows this, so it becomes
//!   known only if a client reports it. Find out the ids of both requests and how long after its
//!   first response the server sends the second, and compare this time with the reuse delay (see
//!   `reuse_delay_queue`).
//! - A write is not recorded: a request that was sent and got no response counts as one that was
//!   not fully written.
//!   `attempts_connect_failed` rises in place of `attempts_reset`, and requests that must not be
//!   repeated are retried. This would happen if awc moved a connection to a task of its own, where
//!   [`CURRENT_WRITE_PROGRESS`] is not set: check this first after an upgrade of awc.
//! - No connection is ever found reusable: `connections_opened` rises as fast as
//!   `attempts_started`.
//! - A connection is reused after the server's idle timeout: `attempts_reset` rises for requests
//!   that follow an idle period.
//!
//! The invariant is tested by the recordings in `tests/exchanges` of second and late responses, of
//! bytes after the end of a response, and of reused connections.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection_limiter::ConnectionPermit;
use super::response_reader::ResponseReader;
use super::write_progress::CURRENT_WRITE_PROGRESS;
use crate::counters::Counters;
use crate::limits::Limits;

/// A connection to a server. Records how much of the current task's request the socket has
/// accepted, and limits what awc reads to the response to that request.
pub(super) struct TrackedStream {
    reader: ResponseReader,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
    _permit: ConnectionPermit,
}

impl std::fmt::Debug for TrackedStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.reader.stream().fmt(formatter)
    }
}

impl TrackedStream {
    /// Wraps the socket of a newly established connection. The connection counts as open until the
    /// stream is dropped.
    pub(super) fn new(
        stream: TcpStream,
        permit: ConnectionPermit,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> Self {
        Self {
            reader: ResponseReader::new(stream, Rc::clone(&limits), Rc::clone(&counters)),
            limits,
            counters,
            _permit: permit,
        }
    }
}

/// True if the current task has a request and the socket has not accepted any byte of it. A read at
/// this time is awc's check whether a pooled connection is still open.
fn is_request_unwritten() -> bool {
    CURRENT_WRITE_PROGRESS
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
        if is_request_unwritten() {
            self.reader.close_unless_reusable();
        }
        let read = self.reader.poll_response(context, output);
        let any_read = matches!(read, Poll::Ready(Ok(()))) && output.filled().len() > filled_before;
        if read.is_ready() && !any_read {
            let _ = CURRENT_WRITE_PROGRESS.try_with(|progress| progress.on_connection_ended());
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
        let progress = CURRENT_WRITE_PROGRESS.try_with(Rc::clone).ok();
        if let Some(progress) = &progress {
            if let Err(blocked) = progress.check_may_send(&self.limits) {
                self.counters.count_blocked_attempt(blocked);
                return Poll::Ready(Err(io::Error::other(blocked.reason())));
            }
            if progress.started_at().is_none() {
                self.reader.prepare_for_response();
            }
        }
        let Some(stream) = self.reader.stream_mut() else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        let wrote = Pin::new(stream).poll_write(context, bytes);
        if let (Poll::Ready(Ok(count)), Some(progress)) = (&wrote, progress) {
            progress.on_written(bytes.get(..*count).unwrap_or(bytes));
        }
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.reader
            .stream_mut()
            .map_or(Poll::Ready(Ok(())), |stream| {
                Pin::new(stream).poll_flush(context)
            })
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.reader
            .stream_mut()
            .map_or(Poll::Ready(Ok(())), |stream| {
                Pin::new(stream).poll_shutdown(context)
            })
    }
}

impl ActixStream for TrackedStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        let closed = || Poll::Ready(Ok(Ready::READ_CLOSED));
        self.reader.stream().map_or_else(closed, |stream| {
            ActixStream::poll_read_ready(stream, context)
        })
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        let closed = || Poll::Ready(Ok(Ready::WRITE_CLOSED));
        self.reader.stream().map_or_else(closed, |stream| {
            ActixStream::poll_write_ready(stream, context)
        })
    }
}
