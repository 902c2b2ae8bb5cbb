//! Limits the number of open connections to servers, both busy and idle: each uses one of the
//! process's file descriptors, which clients and discovery need as well.

use std::cell::Cell;
use std::rc::Rc;

/// Counts open connections up to a fixed maximum.
pub(super) struct ConnectionLimiter {
    open: Cell<usize>,
    max_open: usize,
}

impl ConnectionLimiter {
    /// Creates a limiter that allows `max_open` simultaneous connections.
    pub(super) fn new(max_open: usize) -> Rc<Self> {
        Rc::new(Self {
            open: Cell::new(0),
            max_open,
        })
    }

    /// Returns a permit for one more connection; `None` if the limit is reached.
    pub(super) fn try_acquire(self: &Rc<Self>) -> Option<ConnectionPermit> {
        if self.open.get() >= self.max_open {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit(Rc::clone(self)))
    }
}

/// The permission to hold one connection open; returned to the limiter when dropped.
pub(super) struct ConnectionPermit(Rc<ConnectionLimiter>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
