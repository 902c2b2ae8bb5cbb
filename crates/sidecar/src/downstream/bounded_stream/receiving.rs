//! Reads from a client's socket, and tells its connection what was received.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead as _, ReadBuf};
use tokio::net::TcpStream;

use super::BoundedStream;
use crate::downstream::connection::peek;

impl BoundedStream {
    /// Reads up to `max_bytes` and reports the result to the connection; 0 bytes mean the end of
    /// file.
    pub(super) fn poll_receive(
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

    /// Checks with the operating system that there is nothing more to read. The runtime's `Pending`
    /// does not prove it: it clears a socket's readiness after a short read, and the client's end
    /// of file may directly follow the bytes of that read.
    fn confirm_drained(&mut self) -> Poll<io::Result<usize>> {
        if self.client.input().is_drained() {
            return Poll::Pending;
        }
        let peeked = peek(&*self.socket()?);
        match &peeked {
            // The readiness event of these bytes wakes the task.
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
    // Reading into a part of the buffer requires that part to be initialized first; a body, which
    // may fill the whole buffer, is read without that cost.
    if buf.remaining() <= max_bytes {
        return socket.poll_read(cx, buf);
    }
    let mut part = ReadBuf::new(buf.initialize_unfilled_to(max_bytes));
    let read = socket.poll_read(cx, &mut part);
    let bytes = part.filled().len();
    buf.advance(bytes);
    read
}
