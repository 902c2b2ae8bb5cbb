//! The client socket as seen by actix-http, the HTTP implementation.
//!
//! # Invariant
//! While actix-http runs, the socket is read continuously, every byte is reported to the
//! [`ClientConnection`] before actix-http sees it, and actix-http buffers little more than one
//! request. Input that can no longer belong to a valid request is discarded instead of being left
//! in the socket: a disconnect is detected only by reading the end of file, which comes after that
//! input. After the last response actix-http sees the end of file, whatever the socket holds.
//! However actix-http ends, the socket is returned to the connection, and only `lingering_close`
//! closes it.
//!
//! # Failure modes and symptoms
//! - A read that is not reported, or a drained socket that is not reported as such: requests are
//!   rejected with "one request at a time" (`requests_malformed` rises), or wait forever in
//!   [`ClientConnection::on_request_read`] (`requests_accepted` stops rising while clients
//!   connect).
//! - Reading that pauses while a request is in flight: disconnects go undetected.
//!   `clients_disconnected` and `attempts_blocked_client_left` stay low, and servers process
//!   requests of disconnected clients.
//! - An unbounded chunk: memory grows with the number of clients that send without waiting for
//!   responses, up to the process's memory limit.
//! - A socket that is dropped here: closing a socket with unread bytes sends a reset, so clients
//!   report "connection reset" where the sidecar counts a response. An actix-http release that
//!   closes sockets by itself would cause this, so `poll_shutdown` does nothing.
//!
//! The invariant is tested by `tests/floods.rs` and by the recordings in `tests/exchanges` of
//! pipelined requests and of disconnecting clients.

mod receiving;

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection::ClientConnection;
use super::refusal::Refusal;
use super::request_memory::RequestMemory;
use super::service_context::ServiceContext;
use crate::limits::Limits;

/// Maximum number of bytes discarded by one read.
const DISCARD_BUFFER_BYTES: usize = 2048;
/// Discarding reads in one poll, before the task yields to others.
const DISCARD_READS_PER_POLL: usize = 8;

/// A client's socket while actix-http uses it.
pub(super) struct BoundedStream {
    socket: Option<TcpStream>,
    client: Rc<ClientConnection>,
    limits: Rc<Limits>,
    memory: Rc<RequestMemory>,
    /// Whether actix-http was given time to parse the head that has ended.
    has_waited_for_delimiter: bool,
    /// Bytes given to actix-http since it last processed its buffer, and their maximum. Bounds
    /// memory: actix-http reads until no more input is available before it processes a request,
    /// and buffers every request it has read, so it is given little more than one.
    chunk_bytes: usize,
    max_chunk_bytes: usize,
}

impl BoundedStream {
    /// Takes the client's socket out of its connection; none if the connection has ended.
    pub(super) fn from_connection(
        client: &Rc<ClientConnection>,
        context: &ServiceContext,
    ) -> Option<Self> {
        let socket = client.socket_slot().take()?;
        let _ = socket.set_nodelay(true);
        Some(Self {
            socket: Some(socket),
            client: Rc::clone(client),
            limits: Rc::clone(context.limits()),
            memory: Rc::clone(context.memory()),
            has_waited_for_delimiter: false,
            chunk_bytes: 0,
            max_chunk_bytes: 0,
        })
    }

    /// The connection that the socket belongs to.
    pub(super) fn client(&self) -> &Rc<ClientConnection> {
        &self.client
    }

    fn socket(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        self.socket
            .as_mut()
            .map(Pin::new)
            .ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Reads the next part of a chunk for actix-http.
    fn poll_chunk(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.chunk_bytes == 0 {
            let limits = &self.limits.client;
            let body_bytes = self.client.input().remaining_body_bytes();
            self.max_chunk_bytes =
                limits.read_chunk_bytes + body_bytes.min(limits.body_chunk_bytes);
        }
        let room = self.max_chunk_bytes.saturating_sub(self.chunk_bytes);
        if room == 0 {
            return self.yield_to_other_tasks(cx);
        }
        let body_bytes_left = self.client.request_input().body_bytes_left();
        let filled_before = buf.filled().len();
        let read = self.poll_receive(cx, buf, room.min(body_bytes_left.unwrap_or(room)));
        self.chunk_bytes = if let Poll::Ready(Ok(bytes)) = read {
            self.chunk_bytes + bytes
        } else {
            0
        };
        ready!(read)?;
        self.client.request_input().take_from(buf, filled_before);
        Poll::Ready(self.check_head())
    }

    /// Bounds the head that is being read, and the memory of all large heads.
    ///
    /// # Errors
    /// The head is too large, or there is no memory for it. actix-http ends with this error.
    fn check_head(&self) -> io::Result<()> {
        let input = self.client.request_input();
        let head_bytes = input.head_bytes();
        let refusal = if head_bytes > self.limits.client.max_request_head_bytes {
            Refusal::HeadTooLarge
        } else if !self.memory.is_large_head(head_bytes) || input.has_head_memory() {
            return Ok(());
        } else if let Ok(memory) = self.memory.reserve_large_head() {
            input.set_head_memory(memory);
            return Ok(());
        } else {
            Refusal::OverCapacity
        };
        self.client.refuse(refusal);
        Err(io::ErrorKind::InvalidData.into())
    }

    /// Lets actix-http parse the head that has ended, by which it becomes known how the body is
    /// delimited. If it remains unknown, actix-http has not found the end of the head.
    fn poll_delimiter(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.client.request_input().awaits_delimiter() {
            self.has_waited_for_delimiter = false;
            return Poll::Ready(());
        }
        if self.has_waited_for_delimiter {
            self.has_waited_for_delimiter = false;
            self.client.request_input().continue_head();
            return Poll::Ready(());
        }
        self.has_waited_for_delimiter = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Reads what follows a complete request, and holds back as much as the limit allows. While a
    /// request is in flight, a disconnect is detected only by reading on. Input past the limit
    /// belongs to no request that can be served and is discarded.
    fn poll_pipelined(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let max_bytes = self.limits.client.max_pipelined_bytes;
        let mut received = [0; DISCARD_BUFFER_BYTES];
        for _ in 0..DISCARD_READS_PER_POLL {
            let is_full = self.client.is_pipeline_full(&self.limits);
            let mut buf = ReadBuf::new(&mut received);
            if ready!(self.poll_receive(cx, &mut buf, DISCARD_BUFFER_BYTES))? == 0 {
                return Poll::Ready(Ok(()));
            }
            let input = self.client.request_input();
            if is_full || !input.hold_back(buf.filled(), max_bytes) {
                self.client.input().on_discarded();
            }
        }
        self.yield_to_other_tasks(cx)
    }

    /// Yields although there may be more to read: a client that sends without pause would otherwise
    /// occupy the thread.
    fn yield_to_other_tasks(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.chunk_bytes = 0;
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl Drop for BoundedStream {
    fn drop(&mut self) {
        self.client.socket_slot().put_back(self.socket.take());
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A request after the last response would get no response, so actix-http sees the end of
        // file instead.
        if self.client.close_state().is_last_response_ready() {
            return Poll::Ready(Ok(()));
        }
        self.client.begin_request_if_responded();
        ready!(self.poll_delimiter(cx));
        if self.client.request_input().pass_held_back(buf) {
            return Poll::Ready(self.check_head());
        }
        if self.client.request_input().is_after_request() {
            return self.poll_pipelined(cx);
        }
        self.poll_chunk(cx, buf)
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.socket()?.poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = self.socket()?.poll_flush(cx);
        if flushed.is_ready() {
            let was_unwritten = self.client.close_state().on_response_written();
            // The socket does not wake the task for bytes that were received before.
            if was_unwritten && self.client.request_input().has_held_back() {
                cx.waker().wake_by_ref();
            }
        }
        flushed
    }

    /// Does nothing: only `lingering_close` shuts down the write side, however actix-http ended.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
