//! Handles each request from its last byte to its final response. Independent of the client's
//! protocol and of the way in which an attempt is sent to a server.

mod attempts;
mod exchange;
mod request_admission;
mod request_ids;
mod response;
mod retry_window;

use std::rc::Rc;

use tokio::sync::watch;

use crate::counters::Counters;
use crate::limits::Limits;
use crate::message::ProxyRequest;
use crate::upstream::Upstream;
use exchange::Exchange;
use request_ids::{Repeatability, RequestIds};

pub(crate) use request_admission::RequestAdmission;
pub(crate) use response::ProxyResponse;

/// Handles requests up to their final responses; shared by all listeners.
pub(crate) struct Proxy {
    admission: RequestAdmission,
    upstream: Rc<Upstream>,
    request_ids: Rc<RequestIds>,
    /// Set to true shortly before the process ends.
    forced_shutdown: watch::Sender<bool>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

impl Proxy {
    /// Creates a proxy that sends its attempts through `upstream`.
    pub(crate) fn new(
        admission: RequestAdmission,
        upstream: Rc<Upstream>,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        Rc::new(Self {
            admission,
            upstream,
            request_ids: RequestIds::new(limits.request_id_retention),
            forced_shutdown: watch::Sender::new(false),
            limits,
            counters,
        })
    }

    /// Ends every request in flight with a response at once, because the process is about to end.
    pub(crate) fn force_shutdown(&self) {
        self.forced_shutdown.send_replace(true);
    }

    /// Handles a request and returns its final response. Dropping the future, as happens when the
    /// client disconnects, cancels the attempts in flight.
    pub(crate) async fn handle(&self, request: ProxyRequest) -> ProxyResponse {
        let repeatability = if self.admission.is_idempotent(request.class) {
            Repeatability::Repeatable
        } else {
            Repeatability::Once
        };
        let Some(id_guard) = self.request_ids.reserve(&request.id, repeatability) else {
            return ProxyResponse::DuplicateId;
        };
        let forced_shutdown = self.forced_shutdown.subscribe();
        // Starts no attempt if the client has disconnected, because it reads no response, or if the
        // process is about to end, because that would interrupt the attempt.
        if request.presence.is_disconnected() || *forced_shutdown.borrow() {
            return ProxyResponse::Rejected {
                retry_after: self.limits.default_retry_after,
            };
        }
        let exchange = Exchange::admit(self, request, &id_guard);
        let response = exchange.run(forced_shutdown).await;
        id_guard.on_responded();
        response
    }
}
