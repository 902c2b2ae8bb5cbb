//! Whether a request's client is still connected.

use std::cell::Cell;
use std::rc::Rc;

/// Whether a client is still connected: its connection records that it left, and each attempt
/// checks it before it is sent.
#[derive(Clone, Default)]
pub(crate) struct ClientPresence(Rc<Cell<bool>>);

impl ClientPresence {
    /// The client has left.
    pub(crate) fn mark_disconnected(&self) {
        self.0.set(true);
    }

    /// True once the client has left.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.0.get()
    }
}
