//! Limits the number of client connections. When a new client needs a permit and all are taken,
//! selects a connection that is closed and whose permit the new client gets: an idle one, or else one
//! whose request is incomplete for too long. A client whose request is complete keeps its permit.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::connection::{ClientConnection, Outstanding};
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

/// How many open connections there are, and what those with a permit owe their clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionCounts {
    /// Connections that are not closed.
    pub(crate) open: usize,
    /// Connections with a complete request whose response is not ready.
    pub(crate) in_flight: usize,
    /// Connections with a response that the operating system has not taken to its end.
    pub(crate) unwritten: usize,
    /// Connections with a request that is not complete.
    pub(crate) incomplete: usize,
}

impl ClientPermits {
    /// True if the limit on accepted connections is reached: the next may be accepted only after
    /// one has closed.
    pub(super) fn is_accept_limit_reached(&self, limits: &ClientLimits) -> bool {
        self.open_connections.get() >= limits.max_accepted_connections
    }

    /// Counts a newly accepted connection. Gives it a permit if one is free or can be revoked from
    /// an idle connection.
    pub(super) fn register(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        limits: &ClientLimits,
    ) -> AcceptedConnection {
        let got_permit = self.ensure_free_permit(limits);
        let connection_id = self.next_connection_id.get();
        self.next_connection_id.set(connection_id + 1);
        self.open_connections.set(self.open_connections.get() + 1);
        if got_permit {
            self.permitted
                .borrow_mut()
                .insert(connection_id, Rc::clone(client));
        }
        AcceptedConnection {
            permits: Rc::clone(self),
            connection_id,
            got_permit,
        }
    }

    /// Returns whether a permit is free for a new client. If all are taken, revokes one.
    fn ensure_free_permit(&self, limits: &ClientLimits) -> bool {
        let is_free = self.permitted.borrow().len() < limits.max_permitted_connections;
        is_free || self.revoke_permit(limits)
    }

    /// Revokes the permit of an idle connection, or else of one whose request is incomplete for too
    /// long, and requests a close of that connection; returns false if there is none.
    pub(super) fn revoke_permit(&self, limits: &ClientLimits) -> bool {
        self.revoke_from_idle() || self.revoke_from_incomplete(limits)
    }

    /// Revokes the permit of the idle connection with the lowest
    /// [`IdleState`](super::connection::IdleState).
    fn revoke_from_idle(&self) -> bool {
        while let Some(connection_id) = self.first_by(|client| client.idle_state()) {
            let Some(client) = self.get(connection_id) else {
                return false;
            };
            // A request that has arrived and is not read yet must get its response.
            if client.begin_if_input_has_arrived() {
                continue;
            }
            self.permitted.borrow_mut().remove(&connection_id);
            client.close_state().request_close();
            return true;
        }
        false
    }

    /// Revokes the permit of the connection whose request is incomplete for longest, if that is
    /// longer than clients may take.
    fn revoke_from_incomplete(&self, limits: &ClientLimits) -> bool {
        let Some(latest_start) = Instant::now().checked_sub(limits.min_incomplete_time) else {
            return false;
        };
        let incomplete_since = |client: &ClientConnection| {
            client
                .incomplete_since()
                .filter(|&since| since <= latest_start)
        };
        let Some(connection_id) = self.first_by(incomplete_since) else {
            return false;
        };
        let client = self.permitted.borrow_mut().remove(&connection_id);
        client.inspect(|client| client.close_state().request_eviction());
        true
    }

    /// The connection with a permit for which `key` is lowest, among those for which there is one.
    fn first_by<K: Ord>(&self, key: impl Fn(&ClientConnection) -> Option<K>) -> Option<u64> {
        self.permitted
            .borrow()
            .iter()
            .filter_map(|(&connection_id, client)| Some((key(client)?, connection_id)))
            .min()
            .map(|(_, connection_id)| connection_id)
    }

    fn get(&self, connection_id: u64) -> Option<Rc<ClientConnection>> {
        self.permitted.borrow().get(&connection_id).cloned()
    }

    /// Requests a close of each idle connection that has a permit. A connection is idle if no
    /// request has begun on it and no response is left to write.
    pub(super) fn close_idle(&self) {
        self.permitted
            .borrow()
            .values()
            .filter(|client| client.idle_state().is_some())
            .for_each(|client| client.close_state().request_close());
    }

    /// Counts the open connections by what they owe their clients.
    pub(super) fn counts(&self) -> ConnectionCounts {
        let mut counts = ConnectionCounts {
            open: self.open_connections.get(),
            ..ConnectionCounts::default()
        };
        for client in self.permitted.borrow().values() {
            match client.outstanding() {
                Outstanding::Response => counts.in_flight += 1,
                Outstanding::ResponseBytes => counts.unwritten += 1,
                Outstanding::RequestBytes => counts.incomplete += 1,
                Outstanding::Nothing => {}
            }
        }
        counts
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

/// An accepted client connection, with or without a permit. It counts as open until this value is
/// dropped.
pub(super) struct AcceptedConnection {
    permits: Rc<ClientPermits>,
    connection_id: u64,
    got_permit: bool,
}

impl AcceptedConnection {
    /// True if the connection got a permit when it was accepted, even if it has lost the permit
    /// since: its requests are served. The requests of the other connections are rejected as over
    /// capacity.
    pub(super) fn got_permit(&self) -> bool {
        self.got_permit
    }

    /// Releases the permit for another client, if the connection still has it. To be called only
    /// once no further request is read from the connection.
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
