//! One client's connection: what the client is doing, how much it sent, and its socket.
//!
//! Each concern is a part of its own. What concerns one of them goes to that part; the methods here
//! are for what concerns several. Owns the state, not the reading (`bounded_stream`), not the time
//! that a client may take (`connection_timeout`) and not the end of the socket (`lingering_close`).

mod close_state;
mod input_accounting;
mod lifecycle;
mod socket_slot;

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;

use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::limits::Limits;
use crate::message::ClientPresence;
use close_state::CloseState;
use input_accounting::InputAccounting;
use lifecycle::Lifecycle;
use socket_slot::SocketSlot;

pub(super) use close_state::Persistence;
pub(super) use socket_slot::peek;

/// What is known of a client, shared by its connection and by the requests on it.
pub(super) struct ClientConnection {
    lifecycle: Cell<Lifecycle>,
    /// A response was made on this connection before.
    has_responded: Cell<bool>,
    input: InputAccounting,
    close_state: CloseState,
    presence: ClientPresence,
    socket: SocketSlot,
}

/// Which connection gives way first where permits are short: the lowest rank.
///
/// Those with a response go first, since such a client sends its next request on a new connection.
/// One that has connected ahead of its first request would lose that with its permit. Among equals
/// the one that is idle for longest goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdleRank {
    /// No response was made on the connection yet.
    pub awaits_first_request: bool,
    /// When it connected or its last response was made.
    pub idle_since: Instant,
}

impl ClientConnection {
    /// A client that has just connected by that socket.
    pub(super) fn new(socket: Option<TcpStream>) -> Rc<Self> {
        Rc::new(Self {
            lifecycle: Cell::new(Lifecycle::idle_now()),
            has_responded: Cell::new(false),
            input: InputAccounting::default(),
            close_state: CloseState::default(),
            presence: ClientPresence::default(),
            socket: SocketSlot::new(socket),
        })
    }

    /// Where the socket is while the protocol does not use it.
    pub(super) fn socket_slot(&self) -> &SocketSlot {
        &self.socket
    }

    /// How much the client sent.
    pub(super) fn input(&self) -> &InputAccounting {
        &self.input
    }

    /// Whether the connection is to close, and what is still to be written before.
    pub(super) fn close_state(&self) -> &CloseState {
        &self.close_state
    }

    /// Whether the client is still connected.
    pub(super) fn presence(&self) -> &ClientPresence {
        &self.presence
    }

    /// Bytes came.
    pub(super) fn on_received(&self, bytes: usize) {
        let lifecycle = self.lifecycle.get();
        self.input.on_received(bytes);
        if lifecycle.is_in_flight() {
            self.input.on_pipelined(bytes);
        }
        self.lifecycle.set(lifecycle.after_input());
    }

    /// A request was read to its end; waits until nothing more is to be read, and returns whether
    /// that came to be. A client's end of file lies behind all that it sent: nothing may start
    /// before it would have been seen, or work is begun for a client that has left.
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

    /// A response was made.
    pub(super) fn on_response_ready(&self, persistence: Persistence) {
        self.lifecycle.set(Lifecycle::idle_now());
        self.has_responded.set(true);
        self.close_state.on_response_ready(persistence);
        if self.input.has_discarded() {
            self.close_state.close_after_response();
        }
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

    /// True where bytes lie unread in a socket on which no request was begun: they came as it was
    /// chosen for closing.
    pub(super) fn has_unread_request(&self) -> bool {
        self.idle_rank().is_some()
            && !self.close_state.is_last_response_ready()
            && !self.presence.is_disconnected()
            && self.socket.has_unread_bytes()
    }

    /// How readily the connection gives up its permit; none while it is in use.
    pub(super) fn idle_rank(&self) -> Option<IdleRank> {
        match self.lifecycle.get() {
            Lifecycle::Idle { since } if !self.close_state.is_response_unwritten() => {
                Some(IdleRank {
                    awaits_first_request: !self.has_responded.get(),
                    idle_since: since,
                })
            }
            _ => None,
        }
    }

    /// When the client has taken too long; none while its request is in flight.
    pub(super) fn deadline(&self, limits: &Limits) -> Option<Instant> {
        self.lifecycle
            .get()
            .deadline(self.has_responded.get(), &limits.client)
    }
}

#[cfg(test)]
mod tests;
