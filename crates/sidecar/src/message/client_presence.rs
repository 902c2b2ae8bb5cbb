//! Whether a request's client is still connected.

use std::cell::Cell;
use std::rc::Rc;

/// A shared flag for whether a client is still connected: its connection sets it on disconnect, and
/// each attempt checks it before its first byte.
#[derive(Clone, Default)]
pub(crate) struct ClientPresence(Rc<Cell<bool>>);

impl ClientPresence {
    pub(crate) fn mark_disconnected(&self) {
        self.0.set(true);
    }

    /// True once the client has disconnected.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.0.get()
    }
}
