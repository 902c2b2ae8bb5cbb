//! Collects the conditions of an attempt at the moment of its first byte and checks them with
//! `send_conditions`.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::time::Instant;

use super::send_conditions::{SendConditions, check_conditions};
use crate::host::{EndpointListFreshness, Server};
use crate::limits::Limits;
use crate::message::{ClientPresence, SendBlocked};

/// Decides whether an attempt's first byte may be written. Health checks have no guard: they are no
/// work for the server, and may go to a draining server.
pub(super) struct SendGuard {
    /// Whether the endpoint list is recent enough to show a drain.
    pub list_freshness: Rc<EndpointListFreshness>,
    /// The target server.
    pub server: Rc<Server>,
    /// The server's address when the attempt was created.
    pub address: SocketAddr,
    /// Whether the request's client is still connected.
    pub presence: ClientPresence,
    /// When the attempt times out.
    pub attempt_deadline: Instant,
    /// The latest time at which a retry may begin; `None` if there is no such limit.
    pub start_before: Option<Instant>,
}

impl SendGuard {
    /// Checks whether the first byte may be written now.
    ///
    /// # Errors
    /// The first condition that blocks the attempt.
    pub(super) fn check(&self, limits: &Limits) -> Result<(), SendBlocked> {
        check_conditions(
            &self.current_conditions(),
            limits.upstream.max_time_not_ready,
        )
    }

    fn current_conditions(&self) -> SendConditions {
        let now = Instant::now();
        let time_until = |instant: Instant| instant.saturating_duration_since(now);
        SendConditions {
            client_disconnected: self.presence.is_disconnected(),
            attempt_time_left: time_until(self.attempt_deadline),
            retry_window_left: self.start_before.map(time_until),
            time_not_ready: self.server.time_not_ready(),
            server_address_changed: self.server.address() != self.address
                || self.server.is_replaced(),
            endpoint_list_stale: self.list_freshness.is_stale_for(&self.server),
        }
    }
}
