//! The connections that no request needs any more, and whose descriptors a new client may get.
//!
//! Such a connection has its last response, or is not served. A client that has just been answered
//! needs a moment to read the response: closing a socket with unread bytes sends a reset, by which
//! the response may be lost.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::Instant;

/// What came of an attempt to reclaim a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reclaim {
    /// A connection was told to close.
    Requested,
    /// The next connection may be told to close at this time.
    NotBefore(Instant),
    /// There is no connection that could be told to close.
    Nothing,
}

/// The reclaimable connections, in the order in which they are reclaimed.
#[derive(Default)]
pub(super) struct DescriptorReclaim {
    /// What each waits for, by the time from which it may be reclaimed and its number.
    waiting: RefCell<BTreeMap<(Instant, u64), Rc<Notify>>>,
    next_number: Cell<u64>,
}

impl DescriptorReclaim {
    /// Adds a connection that may be reclaimed from `from` on.
    pub(super) fn add(self: &Rc<Self>, from: Instant) -> ReclaimableDescriptor {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let reclaimed = Rc::new(Notify::new());
        let key = (from, number);
        self.waiting.borrow_mut().insert(key, Rc::clone(&reclaimed));
        ReclaimableDescriptor {
            reclaim: Rc::clone(self),
            key,
            reclaimed,
        }
    }

    /// Tells the connection to close that could be reclaimed for longest.
    pub(super) fn reclaim_one(&self, now: Instant) -> Reclaim {
        let mut waiting = self.waiting.borrow_mut();
        let Some(first) = waiting.first_entry() else {
            return Reclaim::Nothing;
        };
        let (from, _) = *first.key();
        if from > now {
            return Reclaim::NotBefore(from);
        }
        first.remove().notify_one();
        Reclaim::Requested
    }
}

/// A connection whose descriptor may be reclaimed, until this is dropped.
pub(super) struct ReclaimableDescriptor {
    reclaim: Rc<DescriptorReclaim>,
    key: (Instant, u64),
    reclaimed: Rc<Notify>,
}

impl ReclaimableDescriptor {
    /// Waits until the connection is told to close.
    pub(super) async fn wait_for_reclaim(&self) {
        self.reclaimed.notified().await;
    }
}

impl Drop for ReclaimableDescriptor {
    fn drop(&mut self) {
        self.reclaim.waiting.borrow_mut().remove(&self.key);
    }
}
