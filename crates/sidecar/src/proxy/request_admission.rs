//! What the proxy asks of the balancer's host: to take a request in, and what its class is allowed.

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::ClassId;

use crate::host::{BalancerHost, ClassTable, InFlightRequest};
use crate::message::ProxyRequest;

/// Hands requests to the balancer.
pub(crate) struct RequestAdmission {
    host: Rc<BalancerHost>,
    classes: Rc<ClassTable>,
}

impl RequestAdmission {
    /// Admits requests of these classes to that host's balancer.
    pub(crate) fn new(host: Rc<BalancerHost>, classes: Rc<ClassTable>) -> Self {
        Self { host, classes }
    }

    /// Hands a request to the balancer; its client's time counts from its last byte.
    pub(super) fn admit(&self, request: &ProxyRequest) -> InFlightRequest {
        let elapsed = request.received_at.elapsed();
        let time_left = request.client_timeout.saturating_sub(elapsed);
        InFlightRequest::admit(&self.host, request.class, time_left, request.work_hint)
    }

    /// For how long servers drop retries of a request by its idempotency key; `None` for a class
    /// without keys.
    pub(super) fn deduplication_window(&self, class: ClassId) -> Option<Duration> {
        self.classes.deduplication_window(class)
    }
}
