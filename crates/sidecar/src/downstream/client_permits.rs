//! Limits client connections, and selects the idle connection to close when a new client needs its
//! permit.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

use super::connection::ClientConnection;
use crate::limits::ClientLimits;

/// Counts client connections and issues permits to those that are served.
#[derive(Default)]
pub(super) struct ClientPermits {
    /// Connections that hold a file descriptor, with or without a permit.
    open_connections: Cell<usize>,
    /// Connections with a permit, in order of arrival.
    permitted: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_connection_id: Cell<u64>,
    connection_closed: Notify,
}

impl ClientPermits {
    /// True while no further connection may be accepted until one closes.
    pub(super) fn is_accept_limit_reached(&self, limits: &ClientLimits) -> bool {
        self.open_connections.get() >= limits.max_accepted_connections
    }

    /// Counts a new connection and gives it a permit if one is free or can be freed.
    pub(super) fn admit(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        limits: &ClientLimits,
    ) -> ClientPermit {
        let is_permitted = self.ensure_free_permit(limits);
        let connection_id = self.next_connection_id.get();
        self.next_connection_id.set(connection_id + 1);
        self.open_connections.set(self.open_connections.get() + 1);
        if is_permitted {
            self.permitted
                .borrow_mut()
                .insert(connection_id, Rc::clone(client));
        }
        ClientPermit {
            permits: Rc::clone(self),
            connection_id,
            is_permitted,
        }
    }

    /// Returns whether a permit is free for a new client. If all are taken, takes that of the idle
    /// connection with the lowest [`IdleRank`](super::connection::IdleRank), if any, and closes it.
    fn ensure_free_permit(&self, limits: &ClientLimits) -> bool {
        let mut permitted = self.permitted.borrow_mut();
        if permitted.len() < limits.max_connections {
            return true;
        }
        let idlest = permitted
            .iter()
            .filter_map(|(&connection_id, client)| Some((client.idle_rank()?, connection_id)))
            .min();
        let Some(client) = idlest.and_then(|(_, connection_id)| permitted.remove(&connection_id))
        else {
            return false;
        };
        client.close_state().request_close();
        true
    }

    /// Closes the connections that have no request begun and no response left to write.
    pub(super) fn close_idle(&self) {
        self.permitted
            .borrow()
            .values()
            .filter(|client| client.idle_rank().is_some())
            .for_each(|client| client.close_state().request_close());
    }

    /// Waits until the next connection closes.
    pub(super) async fn wait_for_close(&self) {
        self.connection_closed.notified().await;
    }

    /// Waits until no connection is open.
    pub(super) async fn wait_until_all_closed(&self) {
        while self.open_connections.get() > 0 {
            self.wait_for_close().await;
        }
    }
}

/// A counted client connection; its file descriptor counts until this is dropped.
pub(super) struct ClientPermit {
    permits: Rc<ClientPermits>,
    connection_id: u64,
    is_permitted: bool,
}

impl ClientPermit {
    /// True if the client is served; false if its request is only rejected as over capacity.
    pub(super) fn is_permitted(&self) -> bool {
        self.is_permitted
    }

    /// Releases the permit for another client: the connection takes no more requests.
    pub(super) fn release(&self) {
        self.permits
            .permitted
            .borrow_mut()
            .remove(&self.connection_id);
    }
}

impl Drop for ClientPermit {
    fn drop(&mut self) {
        self.release();
        let open_connections = &self.permits.open_connections;
        open_connections.set(open_connections.get() - 1);
        self.permits.connection_closed.notify_waiters();
    }
}
