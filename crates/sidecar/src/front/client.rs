//! One client's connection: what it is doing, until when it may go on without an open request, and who holds its
//! socket. What is read from it is `lent.rs`, how it ends is `linger.rs`.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;

use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use super::lent::Lent;
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
    /// Bytes that have come since there was last nothing to read; nothing once there is.
    at_once: Cell<usize>,
    /// Bytes of a body that are announced and have not come.
    announced: Cell<usize>,
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
            at_once: Cell::new(0),
            announced: Cell::new(0),
            presence: Presence::default(),
            leave: Notify::new(),
            socket: RefCell::new(socket),
        })
    }

    /// Lends the socket to the protocol, which gives it back whenever and however it ends.
    pub fn lend(self: &Rc<Self>, limits: &Rc<Limits>) -> Option<Lent> {
        let socket = self.socket.borrow_mut().take();
        socket.map(|s| Lent::new(s, Rc::clone(self), Rc::clone(limits)))
    }

    /// Takes the socket back from the protocol.
    pub(super) fn give_back(&self, socket: Option<TcpStream>) {
        *self.socket.borrow_mut() = socket;
    }

    /// Takes the socket for its end, once the protocol has given it back.
    pub fn take(&self) -> Option<TcpStream> {
        self.socket.borrow_mut().take()
    }

    /// True where bytes lie unread in a socket on which nothing was begun: they came as it was chosen for closing.
    pub fn has_unread(&self) -> bool {
        let socket = self.socket.borrow();
        let quiet = self.idle().is_some() && !self.last.get() && !self.presence.left();
        quiet
            && socket
                .as_ref()
                .is_some_and(|s| peek(s).is_ok_and(|bytes| bytes > 0))
    }

    /// Whether it is still there, for the requests on it.
    pub fn presence(&self) -> Presence {
        self.presence.clone()
    }

    pub(super) fn heard(&self, bytes: usize) {
        self.fresh.set(true);
        self.at_once.set(self.at_once.get() + bytes);
        self.announced
            .set(self.announced.get().saturating_sub(bytes));
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

    /// There is nothing more to read for now.
    pub(super) fn dry(&self) {
        self.at_once.set(0);
    }

    /// So many bytes of a body are to come.
    pub fn announce(&self, bytes: usize) {
        self.announced.set(bytes);
    }

    /// Bytes of a body that are announced and have not come.
    pub(super) fn announced(&self) -> usize {
        self.announced.get()
    }

    /// True where the protocol is to get no more for now.
    pub(super) fn is_full(&self, limits: &Limits) -> bool {
        let full = self.idle_since.get().is_none() && self.behind.get() >= limits.behind;
        self.torn.set(self.torn.get() || full);
        full
    }

    /// Its request is read whole; waits until nothing more is to be read, and tells whether that came to be. Guards
    /// against a start for a client that has left: its end lies behind all that it sent.
    pub async fn opened(&self, limits: &Limits) -> bool {
        self.idle_since.set(None);
        self.behind.set(0);
        self.announced.set(0);
        // Whoever reads is woken as long as there is more, and this with it.
        poll_fn(|_| match self.at_once.get() {
            0 => Poll::Ready(true),
            bytes if bytes >= limits.at_once => Poll::Ready(false),
            _ if self.presence.left() => Poll::Ready(false),
            _ => Poll::Pending,
        })
        .await
    }

    /// True once its last answer is made.
    pub(super) fn had_last(&self) -> bool {
        self.last.get()
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

    pub(super) fn left(&self) {
        self.presence.leave();
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
        self.idle_since
            .get()
            .filter(|_| free)
            .map(|since| (!self.known.get(), since))
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
        let Some(begun) = self.begun.get() else {
            return Some(idle);
        };
        // A first request is owed its end within a time from the connect.
        let read = if self.known.get() {
            limits.terminal_read
        } else {
            limits.terminal_first
        };
        Some(idle.max(begun + read))
    }

    /// Guards against permits held by clients that say nothing, or never end what they say.
    pub async fn overstayed(&self, limits: &Limits) {
        loop {
            let due = self
                .deadline(limits)
                .unwrap_or_else(|| Instant::now() + limits.terminal_idle / 4);
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
            if self
                .deadline(limits)
                .is_some_and(|due| due <= Instant::now())
            {
                return;
            }
        }
    }
}

/// How many bytes lie unread, as far as one byte tells; an end of file is none.
fn peek(socket: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(socket).peek(&mut [std::mem::MaybeUninit::uninit()])
}
