//! The state of one client connection: its lifecycle, its input counts, its close state and its
//! socket.
//!
//! Each concern is a submodule; the methods here are those that involve several of them. Reading
//! is done by `bounded_stream`, timeouts are enforced by `connection_timeout`, and the socket is
//! closed by `lingering_close`.

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

/// The state of a client connection, shared by the tasks that serve it and the requests on it.
pub(super) struct ClientConnection {
    lifecycle: Cell<Lifecycle>,
    /// At least one response was ready on this connection.
    has_responded: Cell<bool>,
    input: InputAccounting,
    close_state: CloseState,
    presence: ClientPresence,
    socket: SocketSlot,
}

/// The order in which idle connections are closed when all permits are taken: lowest rank first.
///
/// Connections that have had a response come first, since such a client sends its next request on a
/// new connection. A client that has connected and not yet sent its first request would lose that
/// request with its permit. Within each group the connection that is idle for longest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdleRank {
    /// No response was ready on the connection yet.
    pub awaits_first_request: bool,
    /// When the client connected or its last response was ready.
    pub idle_since: Instant,
}

impl ClientConnection {
    /// Creates the state of a client that has just connected.
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

    /// Holds the socket while actix-http does not use it.
    pub(super) fn socket_slot(&self) -> &SocketSlot {
        &self.socket
    }

    /// The counts of the client's input.
    pub(super) fn input(&self) -> &InputAccounting {
        &self.input
    }

    /// Whether a close is requested, and whether a response is still to be written before it.
    pub(super) fn close_state(&self) -> &CloseState {
        &self.close_state
    }

    /// Whether the client is still connected.
    pub(super) fn presence(&self) -> &ClientPresence {
        &self.presence
    }

    /// Records received bytes.
    pub(super) fn on_received(&self, bytes: usize) {
        let lifecycle = self.lifecycle.get();
        self.input.on_received(bytes);
        if lifecycle.is_in_flight() {
            self.input.on_pipelined(bytes);
        }
        self.lifecycle.set(lifecycle.after_input());
    }

    /// Records that a request was read completely, waits until the socket is drained, and returns
    /// whether it was. A client's end of file follows all bytes that it sent, so a request must not
    /// start before the socket is drained: work would be started for a disconnected client.
    pub(super) async fn on_request_read(&self, limits: &Limits) -> bool {
        self.lifecycle.set(Lifecycle::InFlight);
        self.input.on_request_read();
        // Runs in the same task as the reads, which wake it as long as there is more to read.
        poll_fn(|_| match self.input.burst_bytes() {
            0 => Poll::Ready(true),
            bytes if bytes >= limits.client.max_burst_bytes => Poll::Ready(false),
            _ if self.presence.is_disconnected() => Poll::Ready(false),
            _ => Poll::Pending,
        })
        .await
    }

    /// Records that a response is ready to be written.
    pub(super) fn on_response_ready(&self, persistence: Persistence) {
        self.lifecycle.set(Lifecycle::idle_now());
        self.has_responded.set(true);
        self.close_state.on_response_ready(persistence);
        if self.input.has_discarded() {
            self.close_state.close_after_response();
        }
    }

    /// False if no byte was received since the last response was ready: a request that is parsed
    /// then was sent before that response, but a client must send one request at a time.
    pub(super) fn has_received_since_response(&self) -> bool {
        self.lifecycle.get().has_input()
    }

    /// True if actix-http must get no more input until the response to the request in flight is
    /// ready.
    pub(super) fn is_pipeline_full(&self, limits: &Limits) -> bool {
        self.lifecycle.get().is_in_flight()
            && self.input.pipelined_bytes() >= limits.client.max_pipelined_bytes
    }

    /// True if no request has begun but the socket holds unread bytes: they arrived while the
    /// connection was being selected for closing.
    pub(super) fn has_unread_request(&self) -> bool {
        self.idle_rank().is_some()
            && !self.close_state.is_last_response_ready()
            && !self.presence.is_disconnected()
            && self.socket.has_unread_bytes()
    }

    /// The connection's rank among the idle ones; none while a request has begun or a response is
    /// unwritten.
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

    /// When the connection times out; none while a request is in flight.
    pub(super) fn deadline(&self, limits: &Limits) -> Option<Instant> {
        self.lifecycle
            .get()
            .deadline(self.has_responded.get(), &limits.client)
    }
}

#[cfg(test)]
mod tests;
