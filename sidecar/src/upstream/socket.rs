//! Sockets to job servers that know what of a request has been written.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::answer::Answer;
use super::gate::{Stop, View, judge};
use crate::core::{Core, JobServer};
use crate::counters::Counters;
use crate::limits::Limits;
use crate::transaction::Presence;

tokio::task_local! {
    /// The request that the current task is sending, whichever connection it got from the pool.
    pub static SENDING: Rc<Sending>;
}

/// How much of one request the socket has taken, and what its first byte waits for.
pub struct Sending {
    gate: Option<Gate>,
    /// Bytes of the end-of-head mark seen in a row.
    mark: Cell<usize>,
    body_left: Cell<usize>,
    begun: Cell<Option<Instant>>,
    held_back: Cell<bool>,
    cut: Cell<bool>,
}

/// What [`judge`] is to look at; probes have none.
pub struct Gate {
    pub core: Rc<Core>,
    pub server: Rc<JobServer>,
    /// Where it was when the attempt was made.
    pub address: SocketAddr,
    pub presence: Presence,
    /// When the attempt is given up.
    pub until: Instant,
    /// Until when a repeat may begin.
    pub begins_by: Option<Instant>,
}

impl Gate {
    fn judge(&self, limits: &Limits) -> Result<(), Stop> {
        let now = Instant::now();
        let left = |at: Instant| at.saturating_duration_since(now);
        let trusted = self.core.freshness().until(self.server.served());
        let view = View {
            left: self.presence.left(),
            time_left: left(self.until),
            window_left: self.begins_by.map(left),
            drained: self.server.drained(),
            moved: self.server.address() != self.address,
            stale: trusted.is_some_and(|until| self.core.now() >= until),
        };
        judge(&view, limits.drain)
    }
}

/// Bytes read at a time while the head of an answer is awaited.
const READ: usize = 4 * 1024;

const HEAD_END: &[u8; 4] = b"\r\n\r\n";

impl Sending {
    /// For a request with so long a body; a gate may forbid the first byte.
    pub fn new(gate: Option<Gate>, body: usize) -> Rc<Self> {
        let (mark, body_left) = (Cell::new(0), Cell::new(body));
        let (begun, held_back, cut) = (Cell::new(None), Cell::new(false), Cell::new(false));
        Rc::new(Self { gate, mark, body_left, begun, held_back, cut })
    }

    /// When the socket took the first byte.
    pub fn begun(&self) -> Option<Instant> {
        self.begun.get()
    }

    /// True where this sidecar itself did not let the request out: no fault of the job server's.
    pub fn held_back(&self) -> bool {
        self.held_back.get()
    }

    /// True where the connection ended while the answer was read.
    pub fn cut(&self) -> bool {
        self.cut.get()
    }

    /// True once the socket has taken the last byte: from then on the job server may run it.
    pub fn whole(&self) -> bool {
        self.mark.get() == HEAD_END.len() && self.body_left.get() == 0
    }

    fn may_begin(&self, limits: &Limits) -> Result<(), Stop> {
        let gate = self.gate.as_ref().filter(|_| self.begun.get().is_none());
        let judged = gate.map_or(Ok(()), |gate| gate.judge(limits));
        self.held_back.set(self.held_back.get() || judged.is_err());
        judged
    }

    fn wrote(&self, bytes: &[u8]) {
        if self.begun.get().is_none() && !bytes.is_empty() {
            self.begun.set(Some(Instant::now()));
        }
        let mut rest = bytes;
        while self.mark.get() < HEAD_END.len() {
            let Some((&byte, after)) = rest.split_first() else { return };
            rest = after;
            let mark = self.mark.get();
            self.mark.set(if byte == HEAD_END[mark] { mark + 1 } else { usize::from(byte == b'\r') });
        }
        self.body_left.set(self.body_left.get().saturating_sub(rest.len()));
    }
}

/// Opens connections and keeps their number within bounds.
pub struct Sockets {
    open: Cell<usize>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

impl Sockets {
    pub fn new(limits: Rc<Limits>, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self { open: Cell::new(0), limits, counters })
    }

    /// A client with a pool of its own and none of awc's own time-outs, redirects or headers.
    pub fn client(self: &Rc<Self>) -> Client {
        let this = Rc::clone(self);
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let this = Rc::clone(&this);
            async move {
                let uri = info.request().clone();
                let socket = this.open(&uri).await.map_err(ConnectError::Io)?;
                Ok(Connection::new(uri, socket))
            }
        });
        let connector = Connector::new()
            .timeout(self.limits.connect)
            .limit(self.limits.upstream)
            .conn_keep_alive(self.limits.idle_reuse)
            .conn_lifetime(self.limits.patience)
            .connector(connect);
        let client = Client::builder().connector(connector);
        client.disable_timeout().disable_redirects().no_default_headers().finish()
    }

    async fn open(self: Rc<Self>, uri: &Uri) -> io::Result<Socket> {
        let address: SocketAddr = uri
            .authority()
            .and_then(|a| a.as_str().parse().ok())
            .ok_or_else(|| io::Error::from(io::ErrorKind::InvalidInput))?;
        // Guards against running out of descriptors: a connection too many fails before it is opened.
        if self.open.get() >= self.limits.upstream {
            let _ = SENDING.try_with(|sending| sending.held_back.set(true));
            return Err(io::Error::other("too many connections"));
        }
        self.open.set(self.open.get() + 1);
        self.counters.connections_opened.add();
        let place = Place(self);
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Socket { stream: Some(stream), answer: Answer::default(), ended: None, place })
    }
}

/// One of the connections that may be open.
struct Place(Rc<Sockets>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A connection that tells the current task's request what was written of it, and hands on its answer alone.
pub struct Socket {
    /// Gone once it has brought bytes that belong to no answer.
    stream: Option<TcpStream>,
    answer: Answer,
    /// When its last answer was whole.
    ended: Option<Instant>,
    place: Place,
}

impl std::fmt::Debug for Socket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.stream.fmt(f)
    }
}

impl Socket {
    fn note_end(&mut self) {
        if !self.answer.in_head() && self.answer.wanted().is_none() {
            self.ended = Some(Instant::now());
        }
    }

    /// Reads on until there is something of the answer to hand on.
    fn poll_answer(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let next = SENDING.try_with(|sending| sending.begun.get().is_none()).unwrap_or(false);
        let rests = self.ended.is_some_and(|ended| ended.elapsed() < self.place.0.limits.rest);
        if next && (self.answer.is_open() || rests) {
            // Guards against another request's answer: whether more came behind an open one is not known here, and a
            // second answer may still be on its way. The next request gets another connection.
            self.stream = None;
        }
        loop {
            if self.answer.hand_on(buf) {
                return Poll::Ready(Ok(()));
            }
            let Some(stream) = &mut self.stream else { return Poll::Ready(Ok(())) };
            if self.answer.in_head() {
                let mut bytes = [0; READ];
                let mut head = ReadBuf::new(&mut bytes);
                ready!(Pin::new(stream).poll_read(cx, &mut head))?;
                if head.filled().is_empty() || !self.answer.head(head.filled(), &self.place.0.limits)? {
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

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = self.poll_answer(cx, buf);
        let more = matches!(read, Poll::Ready(Ok(()))) && buf.filled().len() > before;
        if read.is_ready() && !more {
            let _ = SENDING.try_with(|sending| sending.cut.set(sending.whole()));
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let sending = SENDING.try_with(Rc::clone).ok();
        if let Some(Err(stop)) = sending.as_ref().map(|s| s.may_begin(&self.place.0.limits)) {
            self.place.0.counters.stopped(stop);
            return Poll::Ready(Err(io::Error::other(stop.text())));
        }
        if sending.as_ref().is_some_and(|s| s.begun.get().is_none()) {
            self.answer = Answer::awaited();
        }
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        let wrote = Pin::new(stream).poll_write(cx, buf);
        if let (Poll::Ready(Ok(n)), Some(sending)) = (&wrote, sending) {
            sending.wrote(buf.get(..*n).unwrap_or(buf));
        }
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().map_or(Poll::Ready(Ok(())), |s| Pin::new(s).poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream.as_mut().map_or(Poll::Ready(Ok(())), |s| Pin::new(s).poll_shutdown(cx))
    }
}

impl ActixStream for Socket {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        let closed = || Poll::Ready(Ok(Ready::READ_CLOSED));
        self.stream.as_ref().map_or_else(closed, |s| ActixStream::poll_read_ready(s, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        let closed = || Poll::Ready(Ok(Ready::WRITE_CLOSED));
        self.stream.as_ref().map_or_else(closed, |s| ActixStream::poll_write_ready(s, cx))
    }
}

#[cfg(test)]
mod tests;
