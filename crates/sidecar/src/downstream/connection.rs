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

use super::bounded_stream::BoundedStream;
use crate::limits::Limits;
use crate::proxy::ClientPresence;

/// What is known of a client, shared by its connection and by the requests on it.
pub struct ClientConnection {
    /// Since when no request has been open; nothing while one is.
    idle_since: Cell<Option<Instant>>,
    /// When the first byte of the request that is being read came.
    request_started: Cell<Option<Instant>>,
    /// Bytes have come since the last answer.
    received_since_response: Cell<bool>,
    /// It has been answered before.
    has_been_answered: Cell<bool>,
    /// Bytes of an answer are still to be written.
    response_unwritten: Cell<bool>,
    /// It is to close as soon as nothing is owed.
    closing: Cell<bool>,
    /// Its last answer is made: nothing more is read for the protocol.
    sent_last_response: Cell<bool>,
    /// Bytes that came behind an open request.
    pipelined_bytes: Cell<usize>,
    /// Some of those were thrown away, so what follows them cannot be read.
    discarded_input: Cell<bool>,
    /// Bytes that have come since there was last nothing to read; nothing once there is.
    burst_bytes: Cell<usize>,
    /// Bytes of a body that are announced and have not come.
    announced_body_bytes: Cell<usize>,
    presence: ClientPresence,
    close_requested: Notify,
    /// The socket, while the protocol does not have it.
    socket: RefCell<Option<TcpStream>>,
}

impl ClientConnection {
    pub fn new(socket: Option<TcpStream>) -> Rc<Self> {
        let off = || Cell::new(false);
        Rc::new(Self {
            idle_since: Cell::new(Some(Instant::now())),
            request_started: Cell::new(None),
            received_since_response: off(),
            has_been_answered: off(),
            response_unwritten: off(),
            closing: off(),
            sent_last_response: off(),
            pipelined_bytes: Cell::new(0),
            discarded_input: off(),
            burst_bytes: Cell::new(0),
            announced_body_bytes: Cell::new(0),
            presence: ClientPresence::default(),
            close_requested: Notify::new(),
            socket: RefCell::new(socket),
        })
    }

    /// Lends the socket to the protocol, which gives it back whenever and however it ends.
    pub fn lend_stream(self: &Rc<Self>, limits: &Rc<Limits>) -> Option<BoundedStream> {
        let socket = self.socket.borrow_mut().take();
        socket.map(|s| BoundedStream::new(s, Rc::clone(self), Rc::clone(limits)))
    }

    /// Takes the socket back from the protocol.
    pub(super) fn return_stream(&self, socket: Option<TcpStream>) {
        *self.socket.borrow_mut() = socket;
    }

    /// Takes the socket for its end, once the protocol has given it back.
    pub fn take_stream(&self) -> Option<TcpStream> {
        self.socket.borrow_mut().take()
    }

    /// True where bytes lie unread in a socket on which nothing was begun: they came as it was chosen for closing.
    pub fn has_unread(&self) -> bool {
        let socket = self.socket.borrow();
        let quiet = self.idle_rank().is_some()
            && !self.sent_last_response.get()
            && !self.presence.is_disconnected();
        quiet
            && socket
                .as_ref()
                .is_some_and(|s| peek(s).is_ok_and(|bytes| bytes > 0))
    }

    /// Whether it is still there, for the requests on it.
    pub fn presence(&self) -> ClientPresence {
        self.presence.clone()
    }

    pub(super) fn on_received(&self, bytes: usize) {
        self.received_since_response.set(true);
        self.burst_bytes.set(self.burst_bytes.get() + bytes);
        self.announced_body_bytes
            .set(self.announced_body_bytes.get().saturating_sub(bytes));
        if self.idle_since.get().is_none() {
            self.pipelined_bytes.set(self.pipelined_bytes.get() + bytes);
        }
        if self.request_started.get().is_none() {
            self.request_started.set(Some(Instant::now()));
        }
    }

    /// True for a request of which no byte came before the last answer: a client sends one at a time.
    pub fn is_first_since_response(&self) -> bool {
        self.received_since_response.get()
    }

    /// There is nothing more to read for now.
    pub(super) fn on_input_drained(&self) {
        self.burst_bytes.set(0);
    }

    /// So many bytes of a body are to come.
    pub fn announce_body(&self, bytes: usize) {
        self.announced_body_bytes.set(bytes);
    }

    /// Bytes of a body that are announced and have not come.
    pub(super) fn announced_body_bytes(&self) -> usize {
        self.announced_body_bytes.get()
    }

    /// True where the protocol is to get no more for now.
    pub(super) fn is_pipeline_full(&self, limits: &Limits) -> bool {
        let full = self.idle_since.get().is_none()
            && self.pipelined_bytes.get() >= limits.client.max_pipelined_bytes;
        self.discarded_input.set(self.discarded_input.get() || full);
        full
    }

    /// Its request is read whole; waits until nothing more is to be read, and tells whether that came to be. Guards
    /// against a start for a client that has left: its end lies behind all that it sent.
    pub async fn on_request_read(&self, limits: &Limits) -> bool {
        self.idle_since.set(None);
        self.pipelined_bytes.set(0);
        self.announced_body_bytes.set(0);
        // Whoever reads is woken as long as there is more, and this with it.
        poll_fn(|_| match self.burst_bytes.get() {
            0 => Poll::Ready(true),
            bytes if bytes >= limits.client.max_burst_bytes => Poll::Ready(false),
            _ if self.presence.is_disconnected() => Poll::Ready(false),
            _ => Poll::Pending,
        })
        .await
    }

    /// True once its last answer is made.
    pub(super) fn sent_last_response(&self) -> bool {
        self.sent_last_response.get()
    }

    /// Its request is answered; the last time where the answer says so.
    pub fn on_response_made(&self, last: bool) {
        self.idle_since.set(Some(Instant::now()));
        self.request_started.set(None);
        self.received_since_response.set(false);
        self.has_been_answered.set(true);
        self.response_unwritten.set(true);
        self.sent_last_response
            .set(self.sent_last_response.get() || last);
        if self.discarded_input.get() {
            self.closing.set(true);
        }
    }

    pub(super) fn on_disconnected(&self) {
        self.presence.mark_disconnected();
    }

    /// All that was to be written is with the machine.
    pub(super) fn on_response_written(&self) {
        if self.response_unwritten.replace(false) && self.closing.get() {
            self.close_requested.notify_one();
        }
    }

    /// Who goes first where permits are short: those that were answered, which ask again on a new connection,
    /// then those that are idle for longest. Guards first requests against a crowd that says nothing: one that
    /// has connected ahead loses its request with its permit.
    pub fn idle_rank(&self) -> Option<(bool, Instant)> {
        let free = self.request_started.get().is_none() && !self.response_unwritten.get();
        self.idle_since
            .get()
            .filter(|_| free)
            .map(|since| (!self.has_been_answered.get(), since))
    }

    /// Asks it to close once nothing is owed.
    pub fn begin_close(&self) {
        self.closing.set(true);
        self.close_requested.notify_one();
    }

    /// True where its next answer is its last.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    fn deadline(&self, limits: &Limits) -> Option<Instant> {
        let idle = self.idle_since.get()? + limits.client.idle_timeout;
        let Some(begun) = self.request_started.get() else {
            return Some(idle);
        };
        // A first request is owed its end within a time from the connect.
        let read = if self.has_been_answered.get() {
            limits.client.request_read_timeout
        } else {
            limits.client.first_request_timeout
        };
        Some(idle.max(begun + read))
    }

    /// Guards against permits held by clients that say nothing, or never end what they say.
    pub async fn timed_out(&self, limits: &Limits) {
        loop {
            let due = self
                .deadline(limits)
                .unwrap_or_else(|| Instant::now() + limits.client.idle_timeout / 4);
            tokio::select! {
                () = sleep_until(due) => {}
                () = self.close_requested.notified() => {
                    // Guards against a request that the machine has and this program has not read yet: the
                    // sockets are looked at once more before "idle" counts, and a request that is read is answered.
                    tokio::task::yield_now().await;
                    if self.idle_rank().is_some() {
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

#[cfg(test)]
mod tests;
