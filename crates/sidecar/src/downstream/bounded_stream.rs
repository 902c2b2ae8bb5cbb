//! A client's socket as the protocol uses it: it reports to the connection what comes in, and
//! passes on no more at a time than the protocol can buffer.
//!
//! Returns the socket to the connection when dropped, so that no library closes it over unread
//! bytes.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection::ClientConnection;
use super::socket_slot::peek;
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
    pub(super) fn take(client: &Rc<ClientConnection>, limits: &Rc<Limits>) -> Option<Self> {
        Some(Self {
            socket: Some(client.take_socket()?),
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

    /// Waits for the first byte, or the end. Guards against memory that the protocol takes for
    /// clients that send nothing.
    pub(super) async fn first_byte(&self) {
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
            let body_bytes = self.client.announced_body_bytes();
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

    /// Throws input away. Guards against a flood behind a request in flight: the protocol would
    /// stop reading, and not see the client leave. What is over the bound is of no request that can
    /// be served.
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

    /// Guards against a client that sends without end and gets all the time there is.
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
            Poll::Ready(_) => self.client.on_disconnected(),
        }
        ready!(read)?;
        Poll::Ready(Ok(bytes))
    }

    /// Asks the operating system whether nothing more is to be read. The runtime alone does not
    /// know: it clears a socket's readiness after a short read, and a client's end of file may lie
    /// right behind the bytes of that read.
    fn confirm_drained(&mut self) -> Poll<io::Result<usize>> {
        if self.client.is_input_drained() {
            return Poll::Pending;
        }
        let peeked = peek(&*self.socket()?);
        match &peeked {
            // The readiness that comes with these bytes wakes the task.
            Ok(1..) => return Poll::Pending,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.client.on_input_drained();
                return Poll::Pending;
            }
            Ok(0) | Err(_) => self.client.on_disconnected(),
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
        self.client.on_socket_returned(self.socket.take());
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Guards against a request that is read behind the last response: to the protocol it is the
        // end of file.
        if self.client.sent_last_response() {
            return Poll::Ready(Ok(()));
        }
        if self.client.is_pipeline_full(&self.limits) {
            self.client.on_input_discarded();
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
            self.client.on_response_written();
        }
        flushed
    }

    /// Does nothing: the write side is shut in one place, by `lingering_close`, whatever ended the
    /// protocol.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
