//! The request ids that clients chose: those of the requests in flight, and those of requests that
//! must not run again and whose clients left before the response. They are not the ids by which the balancer identifies requests.

use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum number of ids of requests whose clients left. A client that sends ever new ids displaces the oldest.
const MAX_ENDED_IDS: usize = 2_048;

/// Whether a request may run again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Repeatability {
    /// Any number of times.
    Repeatable,
    /// Not with this id: the sidecar no longer knows where and when it was sent.
    Once,
}

/// The client-chosen ids that a new request must not have.
pub(super) struct RequestIds {
    state: RefCell<State>,
    /// How long the id of a request is kept whose client left.
    retention: Duration,
}

#[derive(Default)]
struct State {
    in_flight: HashSet<Rc<str>>,
    ended: HashSet<Rc<str>>,
    /// The ids in `ended`, oldest first, with the time from which each may be used again.
    expiries: VecDeque<(Instant, Rc<str>)>,
}

impl RequestIds {
    /// Creates an empty set that keeps the ids of requests whose clients left for `retention`.
    pub(super) fn new(retention: Duration) -> Rc<Self> {
        Rc::new(Self {
            state: RefCell::default(),
            retention,
        })
    }

    /// Reserves an id until the guard is dropped. Returns `None` if a request in flight has it: with
    /// the same id, servers would take one of two requests for a retry of the other. Also returns
    /// `None` for a request that must not run again, if one with this id may have run and its client
    /// left before the response.
    pub(super) fn reserve(
        self: &Rc<Self>,
        id: &str,
        repeatability: Repeatability,
    ) -> Option<RequestIdGuard> {
        let mut state = self.state.borrow_mut();
        state.discard_expired(Instant::now());
        if repeatability == Repeatability::Once && state.ended.contains(id) {
            return None;
        }
        let id: Rc<str> = id.into();
        let is_new = state.in_flight.insert(Rc::clone(&id));
        is_new.then(|| RequestIdGuard {
            ids: Rc::clone(self),
            id,
            repeatability,
            may_have_run: Cell::new(false),
            is_responded: Cell::new(false),
        })
    }
}

impl State {
    fn keep(&mut self, id: &Rc<str>, until: Instant) {
        if self.ended.insert(Rc::clone(id)) {
            self.expiries.push_back((until, Rc::clone(id)));
        }
        if self.expiries.len() > MAX_ENDED_IDS {
            self.discard_oldest();
        }
    }

    fn discard_expired(&mut self, now: Instant) {
        while self
            .expiries
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            self.discard_oldest();
        }
    }

    fn discard_oldest(&mut self) {
        if let Some((_, id)) = self.expiries.pop_front() {
            self.ended.remove(&id);
        }
    }
}

/// Keeps a request id reserved until it is dropped.
pub(super) struct RequestIdGuard {
    ids: Rc<RequestIds>,
    id: Rc<str>,
    repeatability: Repeatability,
    may_have_run: Cell<bool>,
    is_responded: Cell<bool>,
}

impl RequestIdGuard {
    /// Records that an attempt is about to be sent.
    pub(super) fn on_attempt_started(&self) {
        self.may_have_run.set(true);
    }

    /// Records that the client gets a final response.
    pub(super) fn on_responded(&self) {
        self.is_responded.set(true);
    }
}

impl Drop for RequestIdGuard {
    /// A client that disconnects drops its request at any time, without a response.
    fn drop(&mut self) {
        let mut state = self.ids.state.borrow_mut();
        state.in_flight.remove(&self.id);
        let is_unresolved = self.may_have_run.get() && !self.is_responded.get();
        if is_unresolved && self.repeatability == Repeatability::Once {
            state.keep(&self.id, Instant::now() + self.ids.retention);
        }
    }
}

#[cfg(test)]
mod tests;
