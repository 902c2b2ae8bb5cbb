//! The request ids that clients have given to the requests in flight. The balancer's own numbers
//! for requests are not here.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The request ids that are in use.
#[derive(Default)]
pub(super) struct OpenRequestIds(RefCell<HashSet<Rc<str>>>);

impl OpenRequestIds {
    /// Reserves an id until the guard is dropped; `None` where it is in use. Servers could not tell
    /// two requests of one id apart: one would pass for a retry of the other.
    pub(super) fn reserve(self: &Rc<Self>, id: &str) -> Option<RequestIdGuard> {
        let id: Rc<str> = id.into();
        let is_new = self.0.borrow_mut().insert(Rc::clone(&id));
        is_new.then(|| RequestIdGuard {
            open: Rc::clone(self),
            id,
        })
    }
}

/// A request id that is in use until this is dropped.
pub(super) struct RequestIdGuard {
    open: Rc<OpenRequestIds>,
    id: Rc<str>,
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.open.0.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
