//! Counts a client's input, so that it can be bounded. What is done at a bound is not decided here.

use std::cell::Cell;

/// The bytes that came from a client, by what bounds them.
#[derive(Default)]
pub(in crate::downstream) struct InputAccounting {
    /// Bytes since there was last nothing to read.
    burst_bytes: Cell<usize>,
    /// Bytes that came behind the request in flight.
    pipelined_bytes: Cell<usize>,
    /// Bytes of a body that are announced and have not come.
    remaining_body_bytes: Cell<usize>,
    /// Some input was discarded, so what follows it cannot be read.
    has_discarded: Cell<bool>,
}

impl InputAccounting {
    /// Bytes came.
    pub(super) fn on_received(&self, bytes: usize) {
        self.burst_bytes.set(self.burst_bytes.get() + bytes);
        self.remaining_body_bytes
            .set(self.remaining_body_bytes.get().saturating_sub(bytes));
    }

    /// So many of the bytes received came behind the request in flight.
    pub(super) fn on_pipelined(&self, bytes: usize) {
        self.pipelined_bytes.set(self.pipelined_bytes.get() + bytes);
    }

    /// There is nothing more to read for now.
    pub(in crate::downstream) fn on_drained(&self) {
        self.burst_bytes.set(0);
    }

    /// True where nothing was read since there was last nothing more.
    pub(in crate::downstream) fn is_drained(&self) -> bool {
        self.burst_bytes.get() == 0
    }

    /// A request's head announced a body of so many bytes.
    pub(in crate::downstream) fn on_body_length(&self, bytes: usize) {
        self.remaining_body_bytes.set(bytes);
    }

    /// A request was read to its end: what comes now is pipelined behind it.
    pub(super) fn on_request_read(&self) {
        self.pipelined_bytes.set(0);
        self.remaining_body_bytes.set(0);
    }

    /// Input is thrown away.
    pub(in crate::downstream) fn on_discarded(&self) {
        self.has_discarded.set(true);
    }

    /// Bytes since there was last nothing to read.
    pub(super) fn burst_bytes(&self) -> usize {
        self.burst_bytes.get()
    }

    /// Bytes that came behind the request in flight.
    pub(super) fn pipelined_bytes(&self) -> usize {
        self.pipelined_bytes.get()
    }

    /// Bytes of a body that are announced and have not come.
    pub(in crate::downstream) fn remaining_body_bytes(&self) -> usize {
        self.remaining_body_bytes.get()
    }

    /// True once input was thrown away.
    pub(super) fn has_discarded(&self) -> bool {
        self.has_discarded.get()
    }
}
