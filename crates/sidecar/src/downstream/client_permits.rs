//! Limits the number of client connections, and selects the idle connection to close when a new
//! client needs its permit.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

use super::connection::ClientConnection;
use crate::limits::ClientLimits;

/// Counts accepted client connections and issues permits to those that are served.
#[derive(Default)]
pub(super) struct ClientPermits {
    /// Accepted connections that are not closed yet, with or without a permit. Each holds a file
    /// descriptor.
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

    /// Counts a newly accepted connection and gives it a permit if one is free or can be freed.
    pub(super) fn register(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        limits: &ClientLimits,
    ) -> AcceptedConnection {
        let has_permit = self.ensure_free_permit(limits);
        let connection_id = self.next_connection_id.get();
        self.next_connection_id.set(connection_id + 1);
        self.open_connections.set(self.open_connections.get() + 1);
        if has_permit {
            self.permitted
                .borrow_mut()
                .insert(connection_id, Rc::clone(client));
        }
        AcceptedConnection {
            permits: Rc::clone(self),
            connection_id,
            has_permit,
        }
    }

    /// Returns whether a permit is free for a new client. If all are taken, takes the permit of the
    /// idle connection with the lowest [`IdleRank`](super::connection::IdleRank), if any, and
    /// requests that it close.
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

/// An accepted client connection, with or without a permit; counts as open until this is dropped.
pub(super) struct AcceptedConnection {
    permits: Rc<ClientPermits>,
    connection_id: u64,
    has_permit: bool,
}

impl AcceptedConnection {
    /// True if the connection got a permit, so that its requests are served; false if its request
    /// is only rejected as over capacity.
    pub(super) fn has_permit(&self) -> bool {
        self.has_permit
    }

    /// Releases the permit, if any, for another client: the connection takes no more requests.
    pub(super) fn release_permit(&self) {
        self.permits
            .permitted
            .borrow_mut()
            .remove(&self.connection_id);
    }
}

impl Drop for AcceptedConnection {
    fn drop(&mut self) {
        self.release_permit();
        let open_connections = &self.permits.open_connections;
        open_connections.set(open_connections.get() - 1);
        self.permits.connection_closed.notify_waiters();
    }
}
