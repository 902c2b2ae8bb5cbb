//! The proxy's interface to the balancer host: admits requests and looks up the deduplication
//! windows of their classes.

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::ClassId;

use crate::host::{BalancerHost, ClassTable, InFlightRequest};
use crate::message::ProxyRequest;

/// Admits requests to the balancer.
pub(crate) struct RequestAdmission {
    host: Rc<BalancerHost>,
    classes: Rc<ClassTable>,
}

impl RequestAdmission {
    /// Creates an interface to `host` for requests of `classes`.
    pub(crate) fn new(host: Rc<BalancerHost>, classes: Rc<ClassTable>) -> Self {
        Self { host, classes }
    }

    /// Admits a request to the balancer. The client timeout counts from the request's last byte.
    pub(super) fn admit(&self, request: &ProxyRequest) -> InFlightRequest {
        let elapsed = request.received_at.elapsed();
        let time_left = request.client_timeout.saturating_sub(elapsed);
        InFlightRequest::admit(&self.host, request.class, time_left, request.work_hint)
    }

    /// True if requests of the class may run any number of times.
    pub(super) fn is_idempotent(&self, class: ClassId) -> bool {
        self.classes.is_idempotent(class)
    }

    /// How long servers deduplicate a request by its idempotency key; `None` for a class without
    /// keys.
    pub(super) fn deduplication_window(&self, class: ClassId) -> Option<Duration> {
        self.classes.deduplication_window(class)
    }
}
