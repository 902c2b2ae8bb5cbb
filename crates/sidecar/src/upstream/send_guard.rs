//! What an attempt must still satisfy at its first byte: collects the conditions as they are at that
//! moment, and has them checked.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::time::Instant;

use super::send_conditions::{SendConditions, check};
use crate::host::{EndpointListFreshness, Server};
use crate::limits::Limits;
use crate::message::{ClientPresence, SendBlocked};

/// What is looked at before an attempt's first byte. Health checks have no guard: they are no work,
/// and may go to a draining server.
pub(super) struct SendGuard {
    /// For how long the endpoint list may be trusted.
    pub list_freshness: Rc<EndpointListFreshness>,
    /// The server that the attempt goes to.
    pub server: Rc<Server>,
    /// The server's address when the attempt was made.
    pub address: SocketAddr,
    /// Whether the request's client is still connected.
    pub presence: ClientPresence,
    /// When the attempt times out.
    pub attempt_deadline: Instant,
    /// The latest time at which a retry may begin, where that is bounded.
    pub start_before: Option<Instant>,
}

impl SendGuard {
    /// Whether the first byte may be written now.
    ///
    /// # Errors
    /// The first rule that the attempt would break.
    pub(super) fn check(&self, limits: &Limits) -> Result<(), SendBlocked> {
        check(&self.conditions(), limits.upstream.max_drain_age)
    }

    fn conditions(&self) -> SendConditions {
        let now = Instant::now();
        let time_until = |instant: Instant| instant.saturating_duration_since(now);
        SendConditions {
            client_left: self.presence.is_disconnected(),
            time_left: time_until(self.attempt_deadline),
            retry_window_left: self.start_before.map(time_until),
            drain_age: self.server.drain_age(),
            server_moved: self.server.address() != self.address,
            list_stale: self.list_freshness.is_stale_for(&self.server),
        }
    }
}
