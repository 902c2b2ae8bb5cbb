//! One client's connection: what it is doing, until when it may go on without an open request, and who holds its
//! socket. How it ends is `linger.rs`.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::limits::Limits;
use crate::transaction::Presence;

/// What is known of a client, shared by its connection and by the requests on it.
pub struct Client {
    /// Since when no request has been open; nothing while one is.
    idle_since: Cell<Option<Instant>>,
    /// When the first byte of the request that is being read came.
    begun: Cell<Option<Instant>>,
    /// Bytes have come since the last answer.
    fresh: Cell<bool>,
    /// It has been answered before.
    known: Cell<bool>,
    /// Bytes of an answer are still to be written.
    owing: Cell<bool>,
    /// It is to close as soon as nothing is owed.
    leaving: Cell<bool>,
    /// Its last answer is made: nothing more is read for the protocol.
    last: Cell<bool>,
    /// Bytes that came behind an open request.
    behind: Cell<usize>,
    /// Some of those were thrown away, so what follows them cannot be read.
    torn: Cell<bool>,
    /// More has come at once than any request takes.
    flooding: Cell<bool>,
    presence: Presence,
    leave: Notify,
    /// The socket, while the protocol does not have it.
    socket: RefCell<Option<TcpStream>>,
}

impl Client {
    pub fn new(socket: Option<TcpStream>) -> Rc<Self> {
        let off = || Cell::new(false);
        Rc::new(Self {
            idle_since: Cell::new(Some(Instant::now())),
            begun: Cell::new(None),
            fresh: off(),
            known: off(),
            owing: off(),
            leaving: off(),
            last: off(),
            behind: Cell::new(0),
            torn: off(),
            flooding: off(),
            presence: Presence::default(),
            leave: Notify::new(),
            socket: RefCell::new(socket),
        })
    }

    /// Lends the socket to the protocol, which gives it back whenever and however it ends.
    pub fn lend(self: &Rc<Self>, limits: &Rc<Limits>) -> Option<Lent> {
        let socket = self.socket.borrow_mut().take();
        socket.map(|s| Lent {
            socket: Some(s),
            client: Rc::clone(self),
            limits: Rc::clone(limits),
            at_once: 0,
        })
    }

    /// Takes the socket for its end, once the protocol has given it back.
    pub fn take(&self) -> Option<TcpStream> {
        self.socket.borrow_mut().take()
    }

    /// True where bytes lie unread in a socket on which nothing was begun: they came as it was chosen for closing.
    pub fn has_unread(&self) -> bool {
        let socket = self.socket.borrow();
        let quiet = self.idle().is_some() && !self.last.get() && !self.presence.left();
        quiet && socket.as_ref().is_some_and(|s| peek(s).is_ok_and(|bytes| bytes > 0))
    }

    /// Whether it is still there, for the requests on it.
    pub fn presence(&self) -> Presence {
        self.presence.clone()
    }

    pub(super) fn heard(&self, bytes: usize) {
        self.fresh.set(true);
        if self.idle_since.get().is_none() {
            self.behind.set(self.behind.get() + bytes);
        }
        if self.begun.get().is_none() {
            self.begun.set(Some(Instant::now()));
        }
    }

    /// True for a request of which no byte came before the last answer: a client sends one at a time.
    pub fn one_at_a_time(&self) -> bool {
        self.fresh.get()
    }

    /// True where more came with its request than a request takes, and how much more is not known: whether it has left
    /// by now cannot be seen either.
    pub fn flooding(&self) -> bool {
        self.flooding.get()
    }

    /// Its request is read whole.
    pub fn opened(&self) {
        self.idle_since.set(None);
        self.behind.set(0);
    }

    /// Its request is answered; the last time where the answer says so.
    pub fn answered(&self, last: bool) {
        self.idle_since.set(Some(Instant::now()));
        self.begun.set(None);
        self.fresh.set(false);
        self.known.set(true);
        self.owing.set(true);
        self.last.set(self.last.get() || last);
        if self.torn.get() {
            self.leaving.set(true);
        }
    }

    /// All that was to be written is with the machine.
    pub(super) fn written(&self) {
        if self.owing.replace(false) && self.leaving.get() {
            self.leave.notify_one();
        }
    }

    /// Who goes first where permits are short: those that were answered, which ask again on a new connection,
    /// then those that are idle for longest. Guards first requests against a crowd that says nothing: one that
    /// has connected ahead loses its request with its permit.
    pub fn idle(&self) -> Option<(bool, Instant)> {
        let free = self.begun.get().is_none() && !self.owing.get();
        self.idle_since.get().filter(|_| free).map(|since| (!self.known.get(), since))
    }

    /// Asks it to close once nothing is owed.
    pub fn dismiss(&self) {
        self.leaving.set(true);
        self.leave.notify_one();
    }

    /// True where its next answer is its last.
    pub fn leaving(&self) -> bool {
        self.leaving.get()
    }

    fn deadline(&self, limits: &Limits) -> Option<Instant> {
        let idle = self.idle_since.get()? + limits.terminal_idle;
        let Some(begun) = self.begun.get() else { return Some(idle) };
        // A first request is owed its end within a time from the connect.
        let read = if self.known.get() { limits.terminal_read } else { limits.terminal_first };
        Some(idle.max(begun + read))
    }

    /// Guards against permits held by clients that say nothing, or never end what they say.
    pub async fn overstayed(&self, limits: &Limits) {
        loop {
            let due = self.deadline(limits).unwrap_or_else(|| Instant::now() + limits.terminal_idle / 4);
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.leave.notified() => {
                    // Guards against a request that the machine has and this program has not read yet: the
                    // sockets are looked at once more before "idle" counts, and a request that is read is answered.
                    tokio::task::yield_now().await;
                    if self.idle().is_some() {
                        return;
                    }
                }
            }
            if self.deadline(limits).is_some_and(|due| due <= Instant::now()) {
                return;
            }
        }
    }
}

/// How many bytes lie unread, as far as one byte tells; an end of file is none.
fn peek(socket: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(socket).peek(&mut [std::mem::MaybeUninit::uninit()])
}

/// The socket in the hands of the protocol: it tells the client's state what comes in, and goes back when dropped, so
/// that no library closes it over unread bytes.
pub struct Lent {
    socket: Option<TcpStream>,
    client: Rc<Client>,
    limits: Rc<Limits>,
    /// Bytes since it last had nothing to give.
    at_once: usize,
}

impl Lent {
    pub fn client(&self) -> &Rc<Client> {
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
        self.socket.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(self.socket()?.poll_read(cx, buf))?;
        let bytes = buf.filled().len() - before;
        if bytes == 0 {
            self.client.presence.leave();
        } else {
            self.client.heard(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        *self.client.socket.borrow_mut() = self.socket.take();
    }
}

impl AsyncRead for Lent {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Guards against a request that is taken after the last answer: to the protocol it is the end of file.
        if self.client.last.get() {
            return Poll::Ready(Ok(()));
        }
        let open = self.client.idle_since.get().is_none();
        let full = open && self.client.behind.get() >= self.limits.behind;
        // Guards against a buffer of the protocol's that is full of requests: it would ask for more without end.
        let flooding = self.at_once >= self.limits.at_once;
        self.client.flooding.set(flooding);
        if flooding && !full {
            self.at_once = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if !full {
            let before = buf.filled().len();
            let read = self.read(cx, buf);
            let more = if read.is_ready() { self.at_once + buf.filled().len() - before } else { 0 };
            self.at_once = more;
            if matches!(read, Poll::Ready(Err(_))) {
                self.client.presence.leave();
            }
            return read;
        }
        // Guards against a flood behind an open request: the protocol would stop reading, and not see the client leave.
        // What is over the bound is of no request that can be served, and is thrown away.
        self.client.torn.set(true);
        let mut bytes = [0; 2048];
        for _ in 0..8 {
            let mut waste = ReadBuf::new(&mut bytes);
            let read = ready!(self.read(cx, &mut waste));
            if read.is_err() || waste.filled().is_empty() {
                self.client.presence.leave();
                return Poll::Ready(read);
            }
        }
        // Guards against a client that sends without end and gets all the time there is.
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl AsyncWrite for Lent {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.socket()?.poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = self.socket()?.poll_flush(cx);
        if flushed.is_ready() {
            self.client.written();
        }
        flushed
    }

    /// Nothing: the write side is shut in one place, by `linger.rs`, whatever ended the protocol.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
