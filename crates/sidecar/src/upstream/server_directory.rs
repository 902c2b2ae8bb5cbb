//! What the transport may ask and tell about servers: which server a number stands for, whether the
//! endpoint list can still be trusted for it, and what it has answered.

use std::rc::Rc;

use arrowstand_balancer::{LoadReport, Outcome, ServerId};
use tokio::time::Instant;

use crate::host::{BalancerClock, BalancerHost, EndpointListFreshness, Server};

/// The servers by the numbers that the balancer knows them by.
pub(crate) struct ServerDirectory {
    host: Rc<BalancerHost>,
    freshness: Rc<EndpointListFreshness>,
    clock: Rc<BalancerClock>,
}

impl ServerDirectory {
    /// The servers of that host.
    pub(crate) fn new(
        host: Rc<BalancerHost>,
        freshness: Rc<EndpointListFreshness>,
        clock: Rc<BalancerClock>,
    ) -> Self {
        Self {
            host,
            freshness,
            clock,
        }
    }

    /// The server of that number; `None` once it is forgotten.
    pub(super) fn find(&self, id: ServerId) -> Option<Rc<Server>> {
        self.host.server(id)
    }

    /// For how long the endpoint list may be trusted.
    pub(super) fn list_freshness(&self) -> Rc<EndpointListFreshness> {
        Rc::clone(&self.freshness)
    }

    /// A server has served a request whose first byte was written at that instant.
    pub(super) fn on_request_served(&self, server: &Server, started_at: Instant) {
        server.on_request_served(self.clock.micros_at(started_at));
    }

    /// A health check that the balancer requested has ended.
    pub(super) fn on_health_check_ended(
        &self,
        server: ServerId,
        outcome: Outcome,
        load_report: Option<LoadReport>,
    ) {
        self.host
            .on_health_check_ended(server, outcome, load_report);
    }
}
