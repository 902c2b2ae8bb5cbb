//! Whether a connection is to close, and what is still to be written before it does.
//!
//! The flags exclude nothing and so are no enum: a close may be requested before, during and after
//! the last response, and a response may end the connection though no close was requested.

use std::cell::Cell;

use tokio::sync::Notify;

/// What becomes of a connection behind a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::downstream) enum Persistence {
    /// It may carry further requests.
    KeepAlive,
    /// The response is its last.
    Close,
}

/// A connection's way to its end.
#[derive(Default)]
pub(in crate::downstream) struct CloseState {
    /// Bytes of a response are still to be written.
    response_unwritten: Cell<bool>,
    /// The next response is the last, and the connection closes once nothing is unwritten.
    is_closing: Cell<bool>,
    /// The last response was made: nothing more is read for the protocol.
    is_last_response_ready: Cell<bool>,
    close_requested: Notify,
}

impl CloseState {
    /// The connection is to close as soon as no request is in flight and nothing is unwritten.
    pub(in crate::downstream) fn request_close(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
    }

    /// A response was made, and this becomes of the connection behind it.
    pub(super) fn on_response_ready(&self, persistence: Persistence) {
        self.response_unwritten.set(true);
        if persistence == Persistence::Close {
            self.is_last_response_ready.set(true);
        }
    }

    /// No further request can be read: the connection closes behind the response that was just
    /// made.
    pub(super) fn close_after_response(&self) {
        self.is_closing.set(true);
    }

    /// All that was to be written is with the operating system.
    pub(in crate::downstream) fn on_response_written(&self) {
        if self.response_unwritten.replace(false) && self.is_closing.get() {
            self.close_requested.notify_one();
        }
    }

    /// Waits until the connection may be able to close.
    pub(in crate::downstream) async fn wait_for_close_request(&self) {
        self.close_requested.notified().await;
    }

    /// True while bytes of a response are still to be written.
    pub(super) fn is_response_unwritten(&self) -> bool {
        self.response_unwritten.get()
    }

    /// True where the next response is the last.
    pub(in crate::downstream) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// True once the last response was made.
    pub(in crate::downstream) fn is_last_response_ready(&self) -> bool {
        self.is_last_response_ready.get()
    }
}
