//! The state of one client connection: its lifecycle, its input counts, its close state and its
//! socket.
//!
//! Each concern is a submodule; the methods here are those that involve several of them. Reading
//! is done by `bounded_stream`, timeouts are enforced by `connection_timeout`, and the socket is
//! closed by `lingering_close`.

mod close_state;
mod input_accounting;
mod lifecycle;
mod outstanding;
mod request_input;
mod socket_slot;

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;

use tokio::net::TcpStream;
use tokio::time::Instant;

use super::refusal::Refusal;
use crate::limits::Limits;
use crate::message::ClientPresence;
use close_state::CloseState;
use input_accounting::InputAccounting;
use lifecycle::Lifecycle;
use request_input::RequestInput;
use socket_slot::SocketSlot;

pub(super) use close_state::Persistence;
pub(super) use outstanding::{IdleState, Outstanding};
pub(super) use socket_slot::peek;

/// The state of a client connection, shared by the tasks that serve it and the requests on it.
pub(super) struct ClientConnection {
    lifecycle: Cell<Lifecycle>,
    /// At least one response was ready on this connection.
    has_responded: Cell<bool>,
    input: InputAccounting,
    request_input: RequestInput,
    refusal: Cell<Option<Refusal>>,
    close_state: CloseState,
    presence: ClientPresence,
    socket: SocketSlot,
}

impl ClientConnection {
    /// Creates the state of a client that has just connected.
    pub(super) fn new(socket: Option<TcpStream>) -> Rc<Self> {
        Rc::new(Self {
            lifecycle: Cell::new(Lifecycle::idle_now()),
            has_responded: Cell::new(false),
            input: InputAccounting::default(),
            request_input: RequestInput::default(),
            refusal: Cell::default(),
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

    /// The input of the current request, and what is held back behind it.
    pub(super) fn request_input(&self) -> &RequestInput {
        &self.request_input
    }

    /// Begins the next request if the response to the current one is written.
    pub(super) fn begin_request_if_responded(&self) {
        if !self.close_state.is_response_unwritten() {
            self.request_input.begin_request_if_responded();
        }
    }

    /// Records why the current request is not read to its end.
    pub(super) fn refuse(&self, refusal: Refusal) {
        self.refusal.set(Some(refusal));
    }

    /// Why the current request was not read to its end; `None` if it was, or if it did not come.
    pub(super) fn refusal(&self) -> Option<Refusal> {
        self.refusal.get()
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

    /// Records that a request was read completely, and waits until the socket is drained. Returns
    /// false if the client disconnects or sends too much before that. A client's end of file
    /// follows all bytes that it sent: if a request started before the socket is drained, work
    /// could be started for a disconnected client.
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
        self.request_input.on_response_ready();
        self.close_state.on_response_ready(persistence);
        if self.input.has_discarded() {
            self.close_state.close_after_response();
        }
    }

    /// False if no byte was received since the last response was ready. A request that is parsed in
    /// this state was sent before that response, although a client must send one request at a time.
    pub(super) fn has_received_since_response(&self) -> bool {
        self.lifecycle.get().has_input()
    }

    /// True if actix-http must get no more input until the response to the request in flight is
    /// ready.
    pub(super) fn is_pipeline_full(&self, limits: &Limits) -> bool {
        self.lifecycle.get().is_in_flight()
            && self.input.pipelined_bytes() >= limits.client.max_pipelined_bytes
    }

    /// True if the client has sent nothing, as far as is known, and is still connected.
    pub(super) fn awaits_first_request(&self) -> bool {
        let is_idle = self
            .idle_state()
            .is_some_and(|idle| idle.awaits_first_request);
        is_idle && !self.presence.is_disconnected()
    }

    /// True if the connection is idle and its socket holds unread bytes, which arrived while the
    /// connection was being selected for closing.
    pub(super) fn has_unread_request(&self) -> bool {
        self.idle_state().is_some()
            && !self.close_state.is_last_response_ready()
            && !self.presence.is_disconnected()
            && self.socket.has_unread_bytes()
    }

    /// The state of the connection if it is idle. It is not idle if a request has begun, or if a
    /// response is not completely written; the result is then `None`.
    pub(super) fn idle_state(&self) -> Option<IdleState> {
        match self.lifecycle.get() {
            Lifecycle::Idle { since } if !self.close_state.is_response_unwritten() => {
                Some(IdleState {
                    awaits_first_request: !self.has_responded.get(),
                    idle_since: since,
                })
            }
            _ => None,
        }
    }

    /// Begins a request if its first bytes have arrived and are not read yet; returns whether they
    /// have.
    pub(super) fn begin_if_input_has_arrived(&self) -> bool {
        let has_arrived = self.socket.has_unread_bytes();
        if has_arrived {
            self.lifecycle.set(self.lifecycle.get().after_input());
        }
        has_arrived
    }

    /// What the connection still owes its client.
    pub(super) fn outstanding(&self) -> Outstanding {
        if self.lifecycle.get().is_in_flight() {
            Outstanding::Response
        } else if self.close_state.is_response_unwritten() {
            Outstanding::ResponseBytes
        } else if self.incomplete_since().is_some() {
            Outstanding::RequestBytes
        } else {
            Outstanding::Nothing
        }
    }

    /// When the first byte of a request was received that is not complete; `None` if there is none.
    pub(super) fn incomplete_since(&self) -> Option<Instant> {
        self.lifecycle.get().reading_since()
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
