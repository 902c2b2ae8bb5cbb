//! Dispatches the balancer's actions to the tasks that execute them: requests in flight, the health
//! checker and the discovery watcher. Assigns the balancer's request ids.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use arrowstand_balancer::{RequestId, ServerId};
use tokio::sync::{Notify, mpsc};

use super::request_action::RequestAction;

/// Queues the balancer's actions for the tasks that execute them.
pub(super) struct ActionDispatcher {
    action_queues: RefCell<BTreeMap<RequestId, mpsc::Sender<RequestAction>>>,
    next_request_id: Cell<u64>,
    health_check_queue: mpsc::Sender<ServerId>,
    poll_request: Notify,
}

impl ActionDispatcher {
    /// Creates a dispatcher, and the receiver of the servers whose health is to be checked.
    pub(super) fn new(max_queued_health_checks: usize) -> (Self, mpsc::Receiver<ServerId>) {
        let (health_check_queue, servers_to_check) = mpsc::channel(max_queued_health_checks);
        let dispatcher = Self {
            action_queues: RefCell::default(),
            next_request_id: Cell::new(0),
            health_check_queue,
            poll_request: Notify::new(),
        };
        (dispatcher, servers_to_check)
    }

    /// Assigns a request its id and creates the queue of its actions. The balancer needs ids that
    /// are never reused; clients may reuse the ids that they choose.
    pub(super) fn register_request(
        &self,
        max_queued_actions: usize,
    ) -> (RequestId, mpsc::Receiver<RequestAction>) {
        let id = RequestId(self.next_request_id.get());
        self.next_request_id.set(id.0 + 1);
        let (sender, actions) = mpsc::channel(max_queued_actions);
        self.action_queues.borrow_mut().insert(id, sender);
        (id, actions)
    }

    /// Removes the queue of a request that has ended; later actions for it are dropped.
    pub(super) fn unregister_request(&self, id: RequestId) {
        self.action_queues.borrow_mut().remove(&id);
    }

    /// Queues an action for its request. Drops the action if the request has ended: the attempts in
    /// flight were reported when the request was dropped.
    pub(super) fn dispatch_to_request(&self, id: RequestId, action: RequestAction) {
        let action_queues = self.action_queues.borrow();
        let Some(sender) = action_queues.get(&id) else {
            return;
        };
        if sender.try_send(action).is_err() {
            tracing::warn!(
                request = id.0,
                ?action,
                "dropped an action because its request's queue is full"
            );
        }
    }

    /// Queues a health check; returns false if the queue is full.
    pub(super) fn enqueue_health_check(&self, server: ServerId) -> bool {
        self.health_check_queue.try_send(server).is_ok()
    }

    /// Requests a poll of discovery.
    pub(super) fn request_poll(&self) {
        self.poll_request.notify_one();
    }

    /// Waits until a poll of discovery is requested.
    pub(super) async fn poll_requested(&self) {
        self.poll_request.notified().await;
    }
}

#[cfg(test)]
mod tests;
