//! A client's socket in the hands of the protocol: it tells the client's state what comes in, gives out no more at a time
//! than the protocol can hold, and goes back when dropped, so that no library closes it over unread bytes.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection::ClientConnection;
use crate::limits::Limits;

pub struct BoundedStream {
    socket: Option<TcpStream>,
    client: Rc<ClientConnection>,
    limits: Rc<Limits>,
    /// Bytes given out since the protocol last looked at what it has, and the most of them. Guards against memory: it
    /// reads all requests that it holds at once, and keeps each, so it holds little more than one.
    given: usize,
    most: usize,
}

impl BoundedStream {
    pub fn new(socket: TcpStream, client: Rc<ClientConnection>, limits: Rc<Limits>) -> Self {
        Self {
            socket: Some(socket),
            client,
            limits,
            given: 0,
            most: 0,
        }
    }

    pub fn client(&self) -> &Rc<ClientConnection> {
        &self.client
    }

    /// Waits for the first byte, or the end. Guards against memory taken for clients that say nothing.
    pub async fn first_byte(&self) {
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

    /// Reads up to so many bytes; none are the end.
    fn read(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        most: usize,
    ) -> Poll<io::Result<usize>> {
        let before = buf.filled().len();
        // Room is cleared before it is lent in part, so a body, which may take all of it, is read without that.
        let read = if buf.remaining() <= most {
            self.socket()?.poll_read(cx, buf)
        } else {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
            let read = self.socket()?.poll_read(cx, &mut part);
            let bytes = part.filled().len();
            buf.advance(bytes);
            read
        };
        let bytes = buf.filled().len() - before;
        match read {
            Poll::Pending => {
                self.client.on_input_drained();
                return Poll::Pending;
            }
            Poll::Ready(Ok(())) if bytes > 0 => self.client.on_received(bytes),
            Poll::Ready(_) => self.client.on_disconnected(),
        }
        ready!(read)?;
        Poll::Ready(Ok(bytes))
    }
}

impl Drop for BoundedStream {
    fn drop(&mut self) {
        self.client.return_stream(self.socket.take());
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Guards against a request that is taken after the last answer: to the protocol it is the end of file.
        if self.client.sent_last_response() {
            return Poll::Ready(Ok(()));
        }
        if !self.client.is_pipeline_full(&self.limits) {
            if self.given == 0 {
                self.most = self.limits.client.read_chunk_bytes
                    + self
                        .client
                        .announced_body_bytes()
                        .min(self.limits.client.body_chunk_bytes);
            }
            let room = self.most.saturating_sub(self.given);
            if room > 0 {
                let read = self.read(cx, buf, room);
                self.given = if let Poll::Ready(Ok(bytes)) = read {
                    self.given + bytes
                } else {
                    0
                };
                return read.map_ok(drop);
            }
        } else {
            // Guards against a flood behind an open request: the protocol would stop reading, and not see the client
            // leave. What is over the bound is of no request that can be served, and is thrown away.
            let mut bytes = [0; 2048];
            for _ in 0..8 {
                if ready!(self.read(cx, &mut ReadBuf::new(&mut bytes), 2048))? == 0 {
                    return Poll::Ready(Ok(()));
                }
            }
        }
        // Guards against a client that sends without end and gets all the time there is.
        self.given = 0;
        cx.waker().wake_by_ref();
        Poll::Pending
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

    /// Nothing: the write side is shut in one place, by `linger.rs`, whatever ended the protocol.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
