//! One client's connection: what the client is doing, how much it sent, until when it may go on,
//! and its socket.
//!
//! Owns the state, not the reading (`bounded_stream`) and not the end of the socket
//! (`lingering_close`).

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use super::close_state::CloseState;
use super::input_accounting::InputAccounting;
use super::lifecycle::Lifecycle;
use super::socket_slot::SocketSlot;
use crate::limits::Limits;
use crate::message::ClientPresence;

/// While a request is in flight there is no deadline, and it is looked for again so often in an
/// idle timeout.
const DEADLINE_CHECKS_PER_IDLE_TIMEOUT: u32 = 4;

/// What is known of a client, shared by its connection and by the requests on it.
pub(super) struct ClientConnection {
    lifecycle: Cell<Lifecycle>,
    /// A response was made on this connection before.
    has_had_response: Cell<bool>,
    input: InputAccounting,
    close: CloseState,
    presence: ClientPresence,
    /// The socket, while the protocol does not use it.
    socket: SocketSlot,
}

impl ClientConnection {
    /// A client that has just connected by that socket.
    pub(super) fn new(socket: Option<TcpStream>) -> Rc<Self> {
        Rc::new(Self {
            lifecycle: Cell::new(Lifecycle::idle_now()),
            has_had_response: Cell::new(false),
            input: InputAccounting::default(),
            close: CloseState::default(),
            presence: ClientPresence::default(),
            socket: SocketSlot::new(socket),
        })
    }

    /// Takes the socket, for the protocol or for the connection's end; none while the protocol uses
    /// it.
    pub(super) fn take_socket(&self) -> Option<TcpStream> {
        self.socket.take()
    }

    /// The protocol uses the socket no more.
    pub(super) fn on_socket_returned(&self, socket: Option<TcpStream>) {
        self.socket.put_back(socket);
    }

    /// True where bytes lie unread in a socket on which no request was begun: they came as it was
    /// chosen for closing.
    pub(super) fn has_unread_request(&self) -> bool {
        self.idle_rank().is_some()
            && !self.close.sent_last_response()
            && !self.presence.is_disconnected()
            && self.socket.has_unread_bytes()
    }

    /// Whether the client is still connected, for the requests on this connection.
    pub(super) fn presence(&self) -> ClientPresence {
        self.presence.clone()
    }

    /// Bytes came.
    pub(super) fn on_received(&self, bytes: usize) {
        let lifecycle = self.lifecycle.get();
        self.input.on_received(bytes, lifecycle.is_in_flight());
        self.lifecycle.set(lifecycle.after_input());
    }

    /// There is nothing more to read for now.
    pub(super) fn on_input_drained(&self) {
        self.input.on_drained();
    }

    /// True where nothing was read since there was last nothing more.
    pub(super) fn is_input_drained(&self) -> bool {
        self.input.burst_bytes() == 0
    }

    /// The client ended its side, or its connection failed.
    pub(super) fn on_disconnected(&self) {
        self.presence.mark_disconnected();
    }

    /// A request's head announced a body of so many bytes.
    pub(super) fn on_body_announced(&self, bytes: usize) {
        self.input.on_body_announced(bytes);
    }

    /// Bytes of a body that are announced and have not come.
    pub(super) fn announced_body_bytes(&self) -> usize {
        self.input.announced_body_bytes()
    }

    /// False for a request of which no byte came since the last response: a client sends one at a
    /// time.
    pub(super) fn has_received_since_response(&self) -> bool {
        self.lifecycle.get().has_input()
    }

    /// True where the protocol is to get no more until the request in flight has its response.
    pub(super) fn is_pipeline_full(&self, limits: &Limits) -> bool {
        self.lifecycle.get().is_in_flight()
            && self.input.pipelined_bytes() >= limits.client.max_pipelined_bytes
    }

    /// Input is thrown away: the connection closes behind the next response.
    pub(super) fn on_input_discarded(&self) {
        self.input.on_discarded();
    }

    /// A request was read to its end; waits until nothing more is to be read, and returns whether
    /// that came to be. Guards against a start for a client that has left: its end of file lies
    /// behind all that it sent.
    pub(super) async fn on_request_read(&self, limits: &Limits) -> bool {
        self.lifecycle.set(Lifecycle::InFlight);
        self.input.on_request_read();
        // The task that reads is woken as long as there is more, and this with it.
        poll_fn(|_| match self.input.burst_bytes() {
            0 => Poll::Ready(true),
            bytes if bytes >= limits.client.max_burst_bytes => Poll::Ready(false),
            _ if self.presence.is_disconnected() => Poll::Ready(false),
            _ => Poll::Pending,
        })
        .await
    }

    /// A response was made; the last one where it says so.
    pub(super) fn on_response_made(&self, last: bool) {
        self.lifecycle.set(Lifecycle::idle_now());
        self.has_had_response.set(true);
        self.close.on_response_made(last, self.input.is_discarded());
    }

    /// All that was to be written is with the operating system.
    pub(super) fn on_response_written(&self) {
        self.close.on_response_written();
    }

    /// True once the last response was made.
    pub(super) fn sent_last_response(&self) -> bool {
        self.close.sent_last_response()
    }

    /// Closes the connection once no request is in flight and nothing is unwritten.
    pub(super) fn begin_close(&self) {
        self.close.begin();
    }

    /// True where the next response is the last.
    pub(super) fn is_closing(&self) -> bool {
        self.close.is_closing()
    }

    /// Which connection gives way first where permits are short, the lowest rank ahead; none while
    /// it is in use. Those with a response go first, since they send further requests on a new
    /// connection, then those idle for longest. Guards first requests against a crowd that sends
    /// nothing: a client that has connected ahead of its request would lose that with its permit.
    pub(super) fn idle_rank(&self) -> Option<(bool, Instant)> {
        match self.lifecycle.get() {
            Lifecycle::Idle { since } if !self.close.is_response_unwritten() => {
                Some((!self.has_had_response.get(), since))
            }
            _ => None,
        }
    }

    /// Waits until the connection is to end: its deadline has passed, or it is closing and idle.
    /// Guards against permits of clients that send nothing, or never end what they send.
    pub(super) async fn timed_out(&self, limits: &Limits) {
        let recheck = limits.client.idle_timeout / DEADLINE_CHECKS_PER_IDLE_TIMEOUT;
        loop {
            let wake_at = self
                .deadline(limits)
                .unwrap_or_else(|| Instant::now() + recheck);
            tokio::select! {
                () = sleep_until(wake_at) => {}
                () = self.close.requested() => if self.is_still_idle().await { return },
            }
            if self.is_past_deadline(limits) {
                return;
            }
        }
    }

    /// Guards against a request that the operating system has and this program has not read yet:
    /// the sockets are polled once more before "idle" counts, and a request that is read gets its
    /// response.
    async fn is_still_idle(&self) -> bool {
        tokio::task::yield_now().await;
        self.idle_rank().is_some()
    }

    fn is_past_deadline(&self, limits: &Limits) -> bool {
        self.deadline(limits)
            .is_some_and(|deadline| deadline <= Instant::now())
    }

    fn deadline(&self, limits: &Limits) -> Option<Instant> {
        self.lifecycle
            .get()
            .deadline(self.has_had_response.get(), &limits.client)
    }
}

#[cfg(test)]
mod tests;
