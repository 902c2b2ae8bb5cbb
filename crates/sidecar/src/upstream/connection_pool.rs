//! Pools of reusable connections: one awc client, and therefore one pool, per server.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{Micros, ServerId};
use awc::Client;
use tokio::time::Instant;

use super::connector::BoundedConnector;
use super::reuse_delay_queue::{AwcResponse, ReuseDelayQueue};
use crate::counters::Counters;
use crate::host::Server;
use crate::limits::Limits;

/// The pools of all servers, and the connections held back by the reuse delay.
pub(super) struct ConnectionPools {
    pools: RefCell<BTreeMap<ServerId, Pool>>,
    connector: Rc<BoundedConnector>,
    reuse_delay_queue: ReuseDelayQueue,
    /// A pool that has not been used for this long contains no reusable connection.
    idle_timeout: Duration,
}

/// The connections to one server.
struct Pool {
    address: SocketAddr,
    incarnation: Option<Micros>,
    client: Client,
    last_used_at: Instant,
}

impl ConnectionPools {
    /// Creates an empty set of pools; connections are subject to `limits`.
    pub(super) fn new(limits: Rc<Limits>, counters: Rc<Counters>) -> Self {
        Self {
            pools: RefCell::default(),
            reuse_delay_queue: ReuseDelayQueue::new(limits.upstream.reuse_delay),
            idle_timeout: limits.upstream.idle_reuse_timeout,
            connector: BoundedConnector::new(limits, counters),
        }
    }

    /// Returns a client whose connections go to the server's current address.
    pub(super) fn client_for(&self, server: &Server) -> Client {
        let now = Instant::now();
        self.reuse_delay_queue.release_due(now);
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .entry(server.id)
            .or_insert_with(|| self.new_pool(server, now));
        // Connections to the server's previous address or process must not be reused.
        if pool.address != server.address() || pool.incarnation != server.incarnation() {
            *pool = self.new_pool(server, now);
        }
        pool.last_used_at = now;
        pool.client.clone()
    }

    fn new_pool(&self, server: &Server, now: Instant) -> Pool {
        Pool {
            address: server.address(),
            incarnation: server.incarnation(),
            client: self.connector.new_client(),
            last_used_at: now,
        }
    }

    /// Returns the connection of `response` to its pool after the reuse delay. The body of the
    /// response has been read, but the end of the body has not been polled yet.
    pub(super) fn return_connection_after_delay(&self, response: AwcResponse) {
        self.reuse_delay_queue.push(response);
    }

    /// Periodically closes the idle connections of servers that get no requests any more. Never
    /// returns.
    ///
    /// awc checks idle connections for expiry only when a request needs one. Those of a server
    /// without requests would keep their descriptors open indefinitely, so the whole pool is
    /// dropped.
    pub(super) async fn run_sweeps(&self) {
        loop {
            tokio::time::sleep(self.idle_timeout).await;
            self.reuse_delay_queue.release_due(Instant::now());
            self.pools
                .borrow_mut()
                .retain(|_, pool| pool.last_used_at.elapsed() < self.idle_timeout);
        }
    }
}
