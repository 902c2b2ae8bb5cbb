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

use super::answer::Answer;
use crate::core::JobServer;
use crate::counters::Counters;
use crate::limits::Limits;

tokio::task_local! {
    /// The request that the current task is sending, whichever connection it got from the pool.
    pub static SENDING: Rc<Sending>;
}

/// How much of one request the socket has taken.
pub struct Sending {
    server: Option<Rc<JobServer>>,
    /// Bytes of the end-of-head mark seen in a row.
    mark: Cell<usize>,
    body_left: Cell<usize>,
    begun: Cell<bool>,
    held_back: Cell<bool>,
    cut: Cell<bool>,
}

/// Bytes read at a time while the head of an answer is awaited.
const READ: usize = 4 * 1024;

const HEAD_END: &[u8; 4] = b"\r\n\r\n";

impl Sending {
    /// For a request with so long a body; with a job server, its drain forbids the first byte.
    pub fn new(server: Option<Rc<JobServer>>, body: usize) -> Rc<Self> {
        let (mark, body_left) = (Cell::new(0), Cell::new(body));
        let (begun, held_back, cut) = (Cell::new(false), Cell::new(false), Cell::new(false));
        Rc::new(Self { server, mark, body_left, begun, held_back, cut })
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

    fn may_begin(&self, limits: &Limits) -> bool {
        let closed = !self.begun.get() && self.server.as_ref().is_some_and(|s| s.closed_for(limits.drain));
        self.held_back.set(self.held_back.get() || closed);
        !closed
    }

    fn wrote(&self, bytes: &[u8]) {
        self.begun.set(self.begun.get() || !bytes.is_empty());
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
        Ok(Socket { stream: Some(stream), answer: Answer::default(), place })
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
    place: Place,
}

impl std::fmt::Debug for Socket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.stream.fmt(f)
    }
}

impl Socket {
    /// Reads on until there is something of the answer to hand on.
    fn poll_answer(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let next = SENDING.try_with(|sending| !sending.begun.get()).unwrap_or(false);
        if next && self.answer.is_open() {
            // Whether more came behind such an answer is not known here: the next request gets another one.
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
        if sending.as_ref().is_some_and(|s| !s.may_begin(&self.place.0.limits)) {
            return Poll::Ready(Err(io::Error::other("the job server drains")));
        }
        if sending.as_ref().is_some_and(|s| !s.begun.get()) {
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
mod tests {
    use super::*;
    use heronlock::ServerId;

    /// A drain told between the decision and a slow connect: loopback connects too fast to record it.
    #[test]
    fn a_drain_stops_the_first_byte_but_no_later_one() {
        let basis = crate::limits::Basis { sockets: 64, ..Default::default() };
        let limits = Limits::derive(&basis);
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let server = Rc::new(JobServer::new(ServerId(0), address));
        let (late, begun) = (Sending::new(Some(server.clone()), 2), Sending::new(Some(server.clone()), 2));
        begun.wrote(b"POST / HTTP/1.1\r\n\r");
        server.told(true);
        assert!(!late.may_begin(&limits) && late.held_back());
        assert!(begun.may_begin(&limits) && !begun.whole());
        begun.wrote(b"\nab");
        assert!(begun.whole() && !begun.held_back());
        server.told(false);
        assert!(Sending::new(Some(server), 0).may_begin(&limits));
    }
}
