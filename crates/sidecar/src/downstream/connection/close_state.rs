//! Whether a connection is to close, and whether a response is still to be written before it does.
//!
//! The flags are independent, so they are not an enum: a close may be requested before, during and
//! after the last response, and a response may end the connection without a requested close.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether a connection persists after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::downstream) enum Persistence {
    /// The connection may carry further requests.
    KeepAlive,
    /// The response is the last on its connection.
    Close,
}

/// The state of a connection's close.
#[derive(Default)]
pub(in crate::downstream) struct CloseState {
    /// A response is ready and not fully written yet.
    response_unwritten: Cell<bool>,
    /// The next response is the last, and the connection closes once no response is unwritten.
    is_closing: Cell<bool>,
    /// The last response is ready: actix-http gets no more input.
    is_last_response_ready: Cell<bool>,
    /// A request that is incomplete is not read to its end.
    is_evicted: Cell<bool>,
    close_requested: Notify,
}

impl CloseState {
    /// Requests that the connection close as soon as no request has begun and no response is
    /// unwritten.
    pub(in crate::downstream) fn request_close(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
    }

    /// Requests that the connection close even if a request is incomplete.
    pub(in crate::downstream) fn request_eviction(&self) {
        self.is_evicted.set(true);
        self.request_close();
    }

    /// True if the connection is to close even if a request is incomplete.
    pub(in crate::downstream) fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    /// Records that a response is ready, and whether the connection persists after it.
    pub(super) fn on_response_ready(&self, persistence: Persistence) {
        self.response_unwritten.set(true);
        if persistence == Persistence::Close {
            self.is_last_response_ready.set(true);
        }
    }

    /// Closes the connection once the response that is now ready is written: no further request can
    /// be read.
    pub(super) fn close_after_response(&self) {
        self.is_closing.set(true);
    }

    /// Records that all output was passed to the operating system; returns whether a response was
    /// unwritten before.
    pub(in crate::downstream) fn on_response_written(&self) -> bool {
        let was_unwritten = self.response_unwritten.replace(false);
        if was_unwritten && self.is_closing.get() {
            self.close_requested.notify_one();
        }
        was_unwritten
    }

    /// Waits until a close is requested, or a closing connection's response is written.
    pub(in crate::downstream) async fn wait_for_close_request(&self) {
        self.close_requested.notified().await;
    }

    /// True while a response is ready and not fully written yet.
    pub(super) fn is_response_unwritten(&self) -> bool {
        self.response_unwritten.get()
    }

    /// True if the next response is the last.
    pub(in crate::downstream) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// True once the last response is ready.
    pub(in crate::downstream) fn is_last_response_ready(&self) -> bool {
        self.is_last_response_ready.get()
    }
}
