//! Connections that are kept for reuse, by server: one awc client, and so one pool, for each.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::ServerId;
use awc::Client;
use tokio::time::Instant;

use super::connector::BoundedConnector;
use super::reuse_delay::{FinishedResponse, ReuseDelay};
use crate::counters::Counters;
use crate::host::Server;
use crate::limits::Limits;

/// The pools of all servers, and the connections that wait to return to them.
pub(super) struct ConnectionPools {
    pools: RefCell<BTreeMap<ServerId, Pool>>,
    connector: Rc<BoundedConnector>,
    reuse_delay: ReuseDelay,
    /// A pool that has not been used for this long has no connection that may be reused.
    idle_timeout: Duration,
}

/// The connections to one server.
struct Pool {
    address: SocketAddr,
    client: Client,
    last_used_at: Instant,
}

impl ConnectionPools {
    /// No pools; connections will keep to these limits.
    pub(super) fn new(limits: Rc<Limits>, counters: Rc<Counters>) -> Self {
        Self {
            pools: RefCell::default(),
            reuse_delay: ReuseDelay::new(limits.upstream.reuse_delay),
            idle_timeout: limits.upstream.idle_reuse_timeout,
            connector: BoundedConnector::new(limits, counters),
        }
    }

    /// A client whose connections go to the server's present address.
    pub(super) fn client_for(&self, server: &Server) -> Client {
        let now = Instant::now();
        self.reuse_delay.release_due(now);
        let mut pools = self.pools.borrow_mut();
        let address = server.address();
        let pool = pools
            .entry(server.id)
            .or_insert_with(|| self.open_pool(address, now));
        // Connections to the address that the server has left are of no use to it.
        if pool.address != address {
            *pool = self.open_pool(address, now);
        }
        pool.last_used_at = now;
        pool.client.clone()
    }

    fn open_pool(&self, address: SocketAddr, now: Instant) -> Pool {
        Pool {
            address,
            client: self.connector.client(),
            last_used_at: now,
        }
    }

    /// A response has been read but for its end: its connection returns to its pool after the reuse
    /// delay.
    pub(super) fn on_response_finished(&self, response: FinishedResponse) {
        self.reuse_delay.on_response_finished(response);
    }

    /// Closes idle connections of servers that get no requests any more, for as long as the program
    /// runs.
    ///
    /// awc looks at an idle connection only when it wants one. Those that nobody wants would hold
    /// their descriptors for ever, so the whole pool is dropped.
    pub(super) async fn run_sweeps(&self) {
        loop {
            tokio::time::sleep(self.idle_timeout).await;
            self.reuse_delay.release_due(Instant::now());
            self.pools
                .borrow_mut()
                .retain(|_, pool| pool.last_used_at.elapsed() < self.idle_timeout);
        }
    }
}
