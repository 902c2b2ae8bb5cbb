//! A client's socket as the protocol (actix-http) uses it.
//!
//! # Invariant
//! While the protocol runs, the socket is always being read, every byte is reported to the
//! [`ClientConnection`] before the protocol sees it, and the protocol holds little more than one
//! request of it. Input that no request can use any more is thrown away, not left in the socket:
//! the end of file lies behind it, and only by reading that far is it known that the client has
//! left. Behind the last response the protocol reads the end of file, whatever the socket holds.
//! However the protocol ends, the socket goes back to the connection, and only `lingering_close`
//! closes it.
//!
//! # How it breaks, and what shows it
//! - A read that is not reported, or a socket that is empty and not reported as such: requests are
//!   rejected with "one request at a time" (`requests_malformed` rises), or wait without end in
//!   [`ClientConnection::on_request_read`] (`requests_accepted` stands still while clients
//!   connect).
//! - Reading that pauses while a request is in flight: clients leave unnoticed.
//!   `clients_disconnected` and `attempts_blocked_client_left` stay low, and servers work for
//!   clients that are gone.
//! - A chunk that is not bounded: the process grows with the number of clients that send without
//!   waiting, up to its memory limit.
//! - A socket that is dropped here: a close over unread bytes is a reset, so clients report
//!   "connection reset" where the sidecar counts a response. An upgrade of actix-http that shuts
//!   sockets by itself would do this; `poll_shutdown` does nothing for that reason.
//!
//! `tests/floods.rs` and the recordings of pipelined requests and of clients that disconnect hold
//! this.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection::ClientConnection;
use super::connection::peek;
use crate::limits::Limits;

/// Bytes of input that are thrown away by one read.
const DISCARD_BUFFER_BYTES: usize = 2048;
/// Reads of input to throw away, until other tasks get their turn.
const DISCARD_READS_PER_POLL: usize = 8;

/// A client's socket, in use by the protocol.
pub(super) struct BoundedStream {
    socket: Option<TcpStream>,
    client: Rc<ClientConnection>,
    limits: Rc<Limits>,
    /// Bytes passed on since the protocol last processed its buffer, and the most of them. Bounds
    /// memory: the protocol reads all that it can before it processes one request, and keeps each,
    /// so it gets little more than one.
    chunk_bytes: usize,
    max_chunk_bytes: usize,
}

impl BoundedStream {
    /// Takes the client's socket for the protocol; none where the connection is at its end.
    pub(super) fn from_connection(
        client: &Rc<ClientConnection>,
        limits: &Rc<Limits>,
    ) -> Option<Self> {
        Some(Self {
            socket: Some(client.socket_slot().take()?),
            client: Rc::clone(client),
            limits: Rc::clone(limits),
            chunk_bytes: 0,
            max_chunk_bytes: 0,
        })
    }

    /// The connection that the socket is of.
    pub(super) fn client(&self) -> &Rc<ClientConnection> {
        &self.client
    }

    /// Waits for the first byte, or the end. The protocol allocates its buffers as soon as it runs,
    /// so it does not for clients that send nothing.
    pub(super) async fn wait_for_first_byte(&self) {
        if let Some(socket) = &self.socket {
            let _ = socket.readable().await;
            let _ = socket.set_nodelay(true);
        }
    }

    fn socket(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        self.socket
            .as_mut()
            .map(Pin::new)
            .ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Reads the next part of a chunk for the protocol.
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
        let read = self.poll_receive(cx, buf, room);
        self.chunk_bytes = if let Poll::Ready(Ok(bytes)) = read {
            self.chunk_bytes + bytes
        } else {
            0
        };
        read.map_ok(drop)
    }

    /// Throws input away. Behind a request in flight the protocol would stop reading at some point,
    /// and would not see the client leave. What is over the bound is of no request that can be
    /// served.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        for _ in 0..DISCARD_READS_PER_POLL {
            let mut buf = ReadBuf::new(&mut discarded);
            if ready!(self.poll_receive(cx, &mut buf, DISCARD_BUFFER_BYTES))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
        self.yield_to_other_tasks(cx)
    }

    /// Ends this task's turn, though there is more to read: a client that sends without end would
    /// keep the thread to itself.
    fn yield_to_other_tasks(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.chunk_bytes = 0;
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Reads up to so many bytes and reports to the connection what came; none are the end of file.
    fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        let filled_before = buf.filled().len();
        let read = poll_read_at_most(self.socket()?, cx, buf, max_bytes);
        let bytes = buf.filled().len() - filled_before;
        match read {
            Poll::Pending => return self.confirm_drained(),
            Poll::Ready(Ok(())) if bytes > 0 => self.client.on_received(bytes),
            Poll::Ready(_) => self.client.presence().mark_disconnected(),
        }
        ready!(read)?;
        Poll::Ready(Ok(bytes))
    }

    /// Asks the operating system whether nothing more is to be read. The runtime alone does not
    /// know: it clears a socket's readiness after a short read, and a client's end of file may lie
    /// right behind the bytes of that read.
    fn confirm_drained(&mut self) -> Poll<io::Result<usize>> {
        if self.client.input().is_drained() {
            return Poll::Pending;
        }
        let peeked = peek(&*self.socket()?);
        match &peeked {
            // The readiness that comes with these bytes wakes the task.
            Ok(1..) => return Poll::Pending,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.client.input().on_drained();
                return Poll::Pending;
            }
            Ok(0) | Err(_) => self.client.presence().mark_disconnected(),
        }
        Poll::Ready(peeked)
    }
}

fn poll_read_at_most(
    socket: Pin<&mut TcpStream>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
    max_bytes: usize,
) -> Poll<io::Result<()>> {
    // A part of a buffer has to be cleared to be read into; a body, which may take all of it, is
    // read without that.
    if buf.remaining() <= max_bytes {
        return socket.poll_read(cx, buf);
    }
    let mut part = ReadBuf::new(buf.initialize_unfilled_to(max_bytes));
    let read = socket.poll_read(cx, &mut part);
    let bytes = part.filled().len();
    buf.advance(bytes);
    read
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
        // A request behind the last response would get no response, so the protocol sees the end of
        // file instead.
        if self.client.close_state().is_last_response_ready() {
            return Poll::Ready(Ok(()));
        }
        if self.client.is_pipeline_full(&self.limits) {
            self.client.input().on_discarded();
            return self.poll_discard(cx);
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
            self.client.close_state().on_response_written();
        }
        flushed
    }

    /// Does nothing: the write side is shut in one place, by `lingering_close`, whatever ended the
    /// protocol.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
