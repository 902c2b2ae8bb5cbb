//! Counts a client's input, so that it can be bounded. The callers decide what happens at a limit.

use std::cell::Cell;

/// The bytes received from a client, counted by the limit that applies to them.
#[derive(Default)]
pub(in crate::downstream) struct InputAccounting {
    /// Bytes received since the socket was last drained.
    burst_bytes: Cell<usize>,
    /// Bytes received after the request in flight.
    pipelined_bytes: Cell<usize>,
    /// Bytes of the request body's declared length that are not received yet.
    remaining_body_bytes: Cell<usize>,
    /// Some input was discarded, so no request after it can be parsed.
    has_discarded: Cell<bool>,
}

impl InputAccounting {
    /// Counts received bytes.
    pub(super) fn on_received(&self, bytes: usize) {
        self.burst_bytes.set(self.burst_bytes.get() + bytes);
        self.remaining_body_bytes
            .set(self.remaining_body_bytes.get().saturating_sub(bytes));
    }

    /// Counts received bytes that follow the request in flight.
    pub(super) fn on_pipelined(&self, bytes: usize) {
        self.pipelined_bytes.set(self.pipelined_bytes.get() + bytes);
    }

    /// Records that the socket is drained: there is nothing more to read for now.
    pub(in crate::downstream) fn on_drained(&self) {
        self.burst_bytes.set(0);
    }

    /// True if nothing was received since the socket was last drained.
    pub(in crate::downstream) fn is_drained(&self) -> bool {
        self.burst_bytes.get() == 0
    }

    /// Records the body length that a request's head declares.
    pub(in crate::downstream) fn on_body_length(&self, bytes: usize) {
        self.remaining_body_bytes.set(bytes);
    }

    /// Records that a request was read completely: further input is pipelined.
    pub(super) fn on_request_read(&self) {
        self.pipelined_bytes.set(0);
        self.remaining_body_bytes.set(0);
    }

    /// Records that input is discarded.
    pub(in crate::downstream) fn on_discarded(&self) {
        self.has_discarded.set(true);
    }

    /// Bytes received since the socket was last drained.
    pub(super) fn burst_bytes(&self) -> usize {
        self.burst_bytes.get()
    }

    /// Bytes received after the request in flight.
    pub(super) fn pipelined_bytes(&self) -> usize {
        self.pipelined_bytes.get()
    }

    /// Bytes of the request body's declared length that are not received yet.
    pub(in crate::downstream) fn remaining_body_bytes(&self) -> usize {
        self.remaining_body_bytes.get()
    }

    /// True once input was discarded.
    pub(super) fn has_discarded(&self) -> bool {
        self.has_discarded.get()
    }
}
