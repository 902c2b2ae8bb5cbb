//! What of a request has been written, and the last look before its first byte.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use super::gate::{Stop, View, judge};
use crate::core::{Core, JobServer};
use crate::limits::Limits;
use crate::transaction::Presence;
use std::net::SocketAddr;

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

const HEAD_END: &[u8; 4] = b"\r\n\r\n";

impl Sending {
    /// For a request with so long a body; a gate may forbid the first byte.
    pub fn new(gate: Option<Gate>, body: usize) -> Rc<Self> {
        let (mark, body_left) = (Cell::new(0), Cell::new(body));
        let (begun, held_back, cut) = (Cell::new(None), Cell::new(false), Cell::new(false));
        Rc::new(Self {
            gate,
            mark,
            body_left,
            begun,
            held_back,
            cut,
        })
    }

    /// When the socket took the first byte.
    pub fn begun(&self) -> Option<Instant> {
        self.begun.get()
    }

    /// True where this sidecar itself did not let the request out: no fault of the job server's.
    pub fn held_back(&self) -> bool {
        self.held_back.get()
    }

    /// Its connection is not opened, for want of a descriptor.
    pub fn hold_back(&self) {
        self.held_back.set(true);
    }

    /// The connection has ended while its answer was read.
    pub fn ended(&self) {
        self.cut.set(self.whole());
    }

    /// True where the connection ended while the answer was read.
    pub fn cut(&self) -> bool {
        self.cut.get()
    }

    /// True once the socket has taken the last byte: from then on the job server may run it.
    pub fn whole(&self) -> bool {
        self.mark.get() == HEAD_END.len() && self.body_left.get() == 0
    }

    pub fn may_begin(&self, limits: &Limits) -> Result<(), Stop> {
        let gate = self.gate.as_ref().filter(|_| self.begun.get().is_none());
        let judged = gate.map_or(Ok(()), |gate| gate.judge(limits));
        self.held_back.set(self.held_back.get() || judged.is_err());
        judged
    }

    pub fn wrote(&self, bytes: &[u8]) {
        if self.begun.get().is_none() && !bytes.is_empty() {
            self.begun.set(Some(Instant::now()));
        }
        let mut rest = bytes;
        while self.mark.get() < HEAD_END.len() {
            let Some((&byte, after)) = rest.split_first() else {
                return;
            };
            rest = after;
            let mark = self.mark.get();
            self.mark.set(if byte == HEAD_END[mark] {
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
