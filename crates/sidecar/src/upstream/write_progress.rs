//! What of a request has been written, and the last look before its first byte.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use super::send_guard::{SendBlocked, SendConditions, check};
use crate::host::{BalancerHost, Server};
use crate::limits::Limits;
use crate::proxy::ClientPresence;
use std::net::SocketAddr;

tokio::task_local! {
    /// The request that the current task is sending, whichever connection it got from the pool.
    pub static CURRENT_WRITE: Rc<WriteProgress>;
}

/// How much of one request the socket has taken, and what its first byte waits for.
pub struct WriteProgress {
    guard: Option<SendGuard>,
    /// Bytes of the end-of-head mark seen in a row.
    head_end_matched: Cell<usize>,
    body_left: Cell<usize>,
    started_at: Cell<Option<Instant>>,
    not_sent: Cell<bool>,
    connection_ended: Cell<bool>,
}

/// What [`judge`] is to look at; probes have none.
pub struct SendGuard {
    pub host: Rc<BalancerHost>,
    pub server: Rc<Server>,
    /// Where it was when the attempt was made.
    pub address: SocketAddr,
    pub presence: ClientPresence,
    /// When the attempt is given up.
    pub attempt_deadline: Instant,
    /// Until when a repeat may begin.
    pub start_before: Option<Instant>,
}

impl SendGuard {
    fn check(&self, limits: &Limits) -> Result<(), SendBlocked> {
        let now = Instant::now();
        let left = |at: Instant| at.saturating_duration_since(now);
        let trusted = self
            .host
            .list_freshness()
            .trusted_until(self.server.last_served_start());
        let conditions = SendConditions {
            client_left: self.presence.is_disconnected(),
            time_left: left(self.attempt_deadline),
            retry_window_left: self.start_before.map(left),
            drain_age: self.server.drain_age(),
            server_moved: self.server.address() != self.address,
            list_stale: trusted.is_some_and(|until| self.host.now() >= until),
        };
        check(&conditions, limits.upstream.max_drain_age)
    }
}

const HEAD_END: &[u8; 4] = b"\r\n\r\n";

impl WriteProgress {
    /// For a request with so long a body; a gate may forbid the first byte.
    pub fn new(gate: Option<SendGuard>, body: usize) -> Rc<Self> {
        let (mark, body_left) = (Cell::new(0), Cell::new(body));
        let (begun, held_back, cut) = (Cell::new(None), Cell::new(false), Cell::new(false));
        Rc::new(Self {
            guard: gate,
            head_end_matched: mark,
            body_left,
            started_at: begun,
            not_sent: held_back,
            connection_ended: cut,
        })
    }

    /// When the socket took the first byte.
    pub fn started_at(&self) -> Option<Instant> {
        self.started_at.get()
    }

    /// True where this sidecar itself did not let the request out: no fault of the job server's.
    pub fn is_not_sent(&self) -> bool {
        self.not_sent.get()
    }

    /// Its connection is not opened, for want of a descriptor.
    pub fn mark_not_sent(&self) {
        self.not_sent.set(true);
    }

    /// The connection has ended while its answer was read.
    pub fn on_connection_ended(&self) {
        self.connection_ended.set(self.is_complete());
    }

    /// True where the connection ended while the answer was read.
    pub fn connection_ended(&self) -> bool {
        self.connection_ended.get()
    }

    /// True once the socket has taken the last byte: from then on the job server may run it.
    pub fn is_complete(&self) -> bool {
        self.head_end_matched.get() == HEAD_END.len() && self.body_left.get() == 0
    }

    pub fn check_first_byte(&self, limits: &Limits) -> Result<(), SendBlocked> {
        let gate = self
            .guard
            .as_ref()
            .filter(|_| self.started_at.get().is_none());
        let judged = gate.map_or(Ok(()), |gate| gate.check(limits));
        self.not_sent.set(self.not_sent.get() || judged.is_err());
        judged
    }

    pub fn on_written(&self, bytes: &[u8]) {
        if self.started_at.get().is_none() && !bytes.is_empty() {
            self.started_at.set(Some(Instant::now()));
        }
        let mut rest = bytes;
        while self.head_end_matched.get() < HEAD_END.len() {
            let Some((&byte, after)) = rest.split_first() else {
                return;
            };
            rest = after;
            let mark = self.head_end_matched.get();
            self.head_end_matched.set(if byte == HEAD_END[mark] {
                mark + 1
            } else {
                usize::from(byte == b'\r')
            });
        }
        self.body_left
            .set(self.body_left.get().saturating_sub(rest.len()));
    }
}

#[cfg(test)]
mod tests;
