//! How many connections to servers are open, busy and idle ones alike: each takes one of the
//! process's file descriptors, which clients and discovery need as well.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the open connections and allows no more than a fixed number.
pub(super) struct ConnectionLimiter {
    open: Cell<usize>,
    max_open: usize,
}

impl ConnectionLimiter {
    /// Allows `max_open` connections at a time.
    pub(super) fn new(max_open: usize) -> Rc<Self> {
        Rc::new(Self {
            open: Cell::new(0),
            max_open,
        })
    }

    /// A permit for one more connection; `None` where as many as allowed are open.
    pub(super) fn try_acquire(self: &Rc<Self>) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max_open {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit(Rc::clone(self)))
    }
}

/// One of the connections that may be open, until it is dropped.
pub(super) struct ConnectionPermit(Rc<ConnectionLimiter>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
