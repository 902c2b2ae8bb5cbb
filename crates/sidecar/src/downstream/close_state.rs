//! Whether a connection is to close, and what is still to be written before it does.
//!
//! The flags exclude nothing and so are no enum: a close may be requested before, during and after
//! the last response, and a response may end the connection though no close was requested.

use std::cell::Cell;

use tokio::sync::Notify;

/// A connection's way to its end.
#[derive(Default)]
pub(super) struct CloseState {
    /// Bytes of a response are still to be written.
    response_unwritten: Cell<bool>,
    /// The next response is the last, and the connection closes once nothing is unwritten.
    is_closing: Cell<bool>,
    /// The last response was made: nothing more is read for the protocol.
    sent_last_response: Cell<bool>,
    close_requested: Notify,
}

impl CloseState {
    /// The connection is to close as soon as no request is in flight and nothing is unwritten.
    pub(super) fn begin(&self) {
        self.is_closing.set(true);
        self.close_requested.notify_one();
    }

    /// A response was made; the last where it says so. Closes behind it where no further request
    /// can be read.
    pub(super) fn on_response_made(&self, last: bool, input_unreadable: bool) {
        self.response_unwritten.set(true);
        self.sent_last_response
            .set(self.sent_last_response.get() || last);
        if input_unreadable {
            self.is_closing.set(true);
        }
    }

    /// All that was to be written is with the operating system.
    pub(super) fn on_response_written(&self) {
        if self.response_unwritten.replace(false) && self.is_closing.get() {
            self.close_requested.notify_one();
        }
    }

    /// Waits until the connection may be able to close.
    pub(super) async fn requested(&self) {
        self.close_requested.notified().await;
    }

    /// True while bytes of a response are still to be written.
    pub(super) fn is_response_unwritten(&self) -> bool {
        self.response_unwritten.get()
    }

    /// True where the next response is the last.
    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// True once the last response was made.
    pub(super) fn sent_last_response(&self) -> bool {
        self.sent_last_response.get()
    }
}
