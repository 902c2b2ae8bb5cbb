//! Hands the balancer's actions to the tasks that execute them: requests in flight, the health
//! checker and the watch on discovery. Keeps the balancer's numbers for requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use arrowstand_balancer::{RequestId, ServerId};
use tokio::sync::{Notify, mpsc};

use super::request_action::RequestAction;

/// The receivers of the balancer's actions.
pub(super) struct ActionDispatcher {
    requests: RefCell<BTreeMap<RequestId, mpsc::Sender<RequestAction>>>,
    next_request: Cell<u64>,
    health_checks: mpsc::Sender<ServerId>,
    poll_wanted: Notify,
}

impl ActionDispatcher {
    /// A dispatcher without requests, and the servers whose health is to be checked.
    pub(super) fn new(max_queued_health_checks: usize) -> (Self, mpsc::Receiver<ServerId>) {
        let (health_checks, servers_to_check) = mpsc::channel(max_queued_health_checks);
        let dispatcher = Self {
            requests: RefCell::default(),
            next_request: Cell::new(0),
            health_checks,
            poll_wanted: Notify::new(),
        };
        (dispatcher, servers_to_check)
    }

    /// Gives a request a number and a queue of its actions. The balancer needs numbers that are
    /// never used twice, which the ids that clients choose are not.
    pub(super) fn register_request(
        &self,
        max_queued_actions: usize,
    ) -> (RequestId, mpsc::Receiver<RequestAction>) {
        let id = RequestId(self.next_request.get());
        self.next_request.set(id.0 + 1);
        let (sender, actions) = mpsc::channel(max_queued_actions);
        self.requests.borrow_mut().insert(id, sender);
        (id, actions)
    }

    /// Drops the actions that still come for a request that has ended.
    pub(super) fn unregister_request(&self, id: RequestId) {
        self.requests.borrow_mut().remove(&id);
    }

    /// Queues an action for its request. A request that has ended has no use for it: what was in
    /// flight of it is reported when it is dropped.
    pub(super) fn dispatch_to_request(&self, id: RequestId, action: RequestAction) {
        let requests = self.requests.borrow();
        let Some(sender) = requests.get(&id) else {
            return;
        };
        if sender.try_send(action).is_err() {
            tracing::warn!(
                request = id.0,
                ?action,
                "action dropped, its request's queue is full"
            );
        }
    }

    /// Queues a health check; false where too many are waiting.
    pub(super) fn enqueue_health_check(&self, server: ServerId) -> bool {
        self.health_checks.try_send(server).is_ok()
    }

    /// Has discovery polled.
    pub(super) fn request_poll(&self) {
        self.poll_wanted.notify_one();
    }

    /// Waits until discovery is to be polled.
    pub(super) async fn poll_requested(&self) {
        self.poll_wanted.notified().await;
    }
}

#[cfg(test)]
mod tests;
