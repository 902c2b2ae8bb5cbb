//! The request ids that clients chose for the requests in flight. They are not the ids by which the
//! balancer identifies requests.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The client-chosen ids of the requests in flight.
#[derive(Default)]
pub(super) struct ActiveRequestIds(RefCell<HashSet<Rc<str>>>);

impl ActiveRequestIds {
    /// Reserves an id until the guard is dropped; returns `None` if the id is in use. With the same
    /// id, servers would take one of two requests for a retry of the other.
    pub(super) fn reserve(self: &Rc<Self>, id: &str) -> Option<RequestIdGuard> {
        let id: Rc<str> = id.into();
        let is_new = self.0.borrow_mut().insert(Rc::clone(&id));
        is_new.then(|| RequestIdGuard {
            active: Rc::clone(self),
            id,
        })
    }
}

/// Keeps a request id reserved until it is dropped.
pub(super) struct RequestIdGuard {
    active: Rc<ActiveRequestIds>,
    id: Rc<str>,
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.active.0.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
