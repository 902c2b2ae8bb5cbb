//! The interface of the upstream side to the balancer's host: looks up servers by id, provides the
//! freshness of the endpoint list, and reports served requests and health check results.

use std::rc::Rc;

use arrowstand_balancer::{LoadReport, Outcome, ServerId};
use tokio::time::Instant;

use crate::host::{BalancerClock, BalancerHost, EndpointListFreshness, Server};

/// Looks up servers by the ids that the balancer uses, and reports what they served.
pub(crate) struct ServerDirectory {
    host: Rc<BalancerHost>,
    freshness: Rc<EndpointListFreshness>,
    clock: Rc<BalancerClock>,
}

impl ServerDirectory {
    /// Creates the interface to `host`.
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

    /// The server with this id; `None` once it has been discarded.
    pub(super) fn find(&self, id: ServerId) -> Option<Rc<Server>> {
        self.host.server(id)
    }

    /// The freshness of the endpoint list.
    pub(super) fn list_freshness(&self) -> Rc<EndpointListFreshness> {
        Rc::clone(&self.freshness)
    }

    /// Records that a server has served a request whose first byte was written at `sent_at`.
    pub(super) fn on_request_served(&self, server: &Server, sent_at: Instant) {
        server.on_request_served(self.clock.micros_at(sent_at));
    }

    /// Reports the result of a health check to the balancer.
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
