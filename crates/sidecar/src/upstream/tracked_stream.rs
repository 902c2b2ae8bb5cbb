//! A connection to a server: it tells what of a request has been written, and hands on its answer alone.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::connector::ConnectionPermit;
use super::response_framing::ResponseFraming;
use super::write_progress::CURRENT_WRITE;

/// Bytes read at a time while the head of an answer is awaited.
const READ: usize = 1024;

/// A connection that tells the current task's request what was written of it, and hands on its answer alone.
pub struct TrackedStream {
    /// Gone once it has brought bytes that belong to no answer.
    stream: Option<TcpStream>,
    answer: ResponseFraming,
    /// When its last answer was whole.
    ended: Option<Instant>,
    permit: ConnectionPermit,
}

impl std::fmt::Debug for TrackedStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.stream.fmt(f)
    }
}

impl TrackedStream {
    pub fn new(stream: TcpStream, permit: ConnectionPermit) -> Self {
        Self {
            stream: Some(stream),
            answer: ResponseFraming::default(),
            ended: None,
            permit,
        }
    }

    fn note_end(&mut self) {
        if !self.answer.in_head() && self.answer.wanted().is_none() {
            self.ended = Some(Instant::now());
        }
    }

    /// Reads on until there is something of the answer to hand on.
    fn poll_answer(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let next = CURRENT_WRITE
            .try_with(|sending| sending.started_at().is_none())
            .unwrap_or(false);
        let limits = &self.permit.0.limits;
        let rests = self
            .ended
            .is_some_and(|ended| ended.elapsed() < limits.upstream.reuse_delay);
        let old = self.ended.is_some_and(|ended| {
            ended.elapsed() > limits.upstream.reuse_delay + limits.upstream.idle_reuse_timeout
        });
        if next && (self.answer.is_open() || rests || old) {
            // Guards against another request's answer: whether more came behind an open one is not known here, and a
            // second answer may still be on its way. And against a server that closes it as idle: the pool counts from
            // when it got the connection back. The next request gets another one.
            self.stream = None;
        }
        loop {
            if self.answer.hand_on(buf) {
                return Poll::Ready(Ok(()));
            }
            let Some(stream) = &mut self.stream else {
                return Poll::Ready(Ok(()));
            };
            if self.answer.in_head() {
                let mut bytes = [0; READ];
                let mut head = ReadBuf::new(&mut bytes);
                ready!(Pin::new(stream).poll_read(cx, &mut head))?;
                if head.filled().is_empty()
                    || !self.answer.head(head.filled(), &self.permit.0.limits)?
                {
                    self.stream = None;
                }
                self.note_end();
                continue;
            }
            let Some(most) = self.answer.wanted() else {
                // No answer is awaited: what comes all the same tells the pool not to use the connection.
                return Pin::new(stream).poll_read(cx, buf);
            };
            let room = buf.remaining().min(most);
            let mut body = ReadBuf::new(buf.initialize_unfilled_to(room));
            ready!(Pin::new(stream).poll_read(cx, &mut body))?;
            let read = body.filled().len();
            buf.advance(read);
            self.answer.body(read)?;
            self.note_end();
            return Poll::Ready(Ok(()));
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = self.poll_answer(cx, buf);
        let more = matches!(read, Poll::Ready(Ok(()))) && buf.filled().len() > before;
        if read.is_ready() && !more {
            let _ = CURRENT_WRITE.try_with(|sending| sending.on_connection_ended());
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sending = CURRENT_WRITE.try_with(Rc::clone).ok();
        if let Some(Err(stop)) = sending
            .as_ref()
            .map(|s| s.check_first_byte(&self.permit.0.limits))
        {
            self.permit.0.counters.on_attempt_blocked(stop);
            return Poll::Ready(Err(io::Error::other(stop.reason())));
        }
        if sending.as_ref().is_some_and(|s| s.started_at().is_none()) {
            self.answer = ResponseFraming::awaited();
        }
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        let wrote = Pin::new(stream).poll_write(cx, buf);
        if let (Poll::Ready(Ok(n)), Some(sending)) = (&wrote, sending) {
            sending.on_written(buf.get(..*n).unwrap_or(buf));
        }
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream
            .as_mut()
            .map_or(Poll::Ready(Ok(())), |s| Pin::new(s).poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream
            .as_mut()
            .map_or(Poll::Ready(Ok(())), |s| Pin::new(s).poll_shutdown(cx))
    }
}

impl ActixStream for TrackedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        let closed = || Poll::Ready(Ok(Ready::READ_CLOSED));
        self.stream
            .as_ref()
            .map_or_else(closed, |s| ActixStream::poll_read_ready(s, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        let closed = || Poll::Ready(Ok(Ready::WRITE_CLOSED));
        self.stream
            .as_ref()
            .map_or_else(closed, |s| ActixStream::poll_write_ready(s, cx))
    }
}
