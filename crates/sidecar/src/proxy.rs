//! The life of one request, from its last byte to its final response, whatever listener it came by.
//! Knows neither the client's protocol nor how an attempt is written to a server.

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
use request_ids::OpenRequestIds;

pub(crate) use request_admission::RequestAdmission;
pub(crate) use response::ProxyResponse;

/// Runs requests to their final responses; shared by all listeners.
pub(crate) struct Proxy {
    admission: RequestAdmission,
    upstream: Rc<Upstream>,
    request_ids: Rc<OpenRequestIds>,
    /// Becomes true where the process is about to end.
    forced_shutdown: watch::Sender<bool>,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

impl Proxy {
    /// A proxy whose attempts are made by the upstream.
    pub(crate) fn new(
        admission: RequestAdmission,
        upstream: Rc<Upstream>,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        Rc::new(Self {
            admission,
            upstream,
            request_ids: Rc::default(),
            forced_shutdown: watch::Sender::new(false),
            limits,
            counters,
        })
    }

    /// The process is about to end: every request in flight gets its response at once.
    pub(crate) fn force_shutdown(&self) {
        self.forced_shutdown.send_replace(true);
    }

    /// Runs a request to its final response. Dropped early, when its client has disconnected, it
    /// cancels the attempts that are in flight.
    pub(crate) async fn run(&self, request: ProxyRequest) -> ProxyResponse {
        let Some(_id_guard) = self.request_ids.reserve(&request.id) else {
            return ProxyResponse::DuplicateId;
        };
        let forced_shutdown = self.forced_shutdown.subscribe();
        // A client that has left reads no response, and the end of the process would cut the work
        // short: in both cases none is begun.
        if request.presence.is_disconnected() || *forced_shutdown.borrow() {
            return ProxyResponse::Rejected {
                retry_after: self.limits.default_retry_after,
            };
        }
        Exchange::admit(self, request).run(forced_shutdown).await
    }
}
