//! Ends connections: of clients that are not served, and of those whose request is not read to its
//! end.

use tokio::time::{Instant, sleep};

use super::Listener;
use crate::downstream::connection::ClientConnection;
use crate::downstream::connection_timeout::ConnectionEnd;
use crate::downstream::lingering_close::lingering_close;
use crate::downstream::refusal::Refusal;

impl Listener {
    /// Waits for the first input of a client without a permit, which is then rejected. Its request
    /// is not read: such clients occupy the last file descriptors, and must not occupy memory.
    pub(super) async fn reject(&self, client: &ClientConnection) {
        let limits = self.context.limits();
        let descriptor = self
            .reclaim
            .add(Instant::now() + limits.client.min_lingering_time);
        let timeout = if self.handler.is_shutting_down() {
            limits.shutdown.first_request_period
        } else {
            limits.client.idle_timeout
        };
        tokio::select! {
            () = client.socket_slot().wait_for_input() => {}
            () = sleep(timeout) => {}
            () = descriptor.wait_for_reclaim() => {}
        }
        // Whatever ended the wait, a request may have arrived by now.
        if client.socket_slot().has_unread_bytes() {
            self.context.counters().requests_over_capacity.inc();
            client.refuse(Refusal::OverCapacity);
        }
    }

    /// Writes the response to a request that was not read to its end, if there is one, and closes
    /// the connection.
    pub(super) async fn close_connection(&self, client: &ClientConnection) {
        let Some(mut socket) = client.socket_slot().take() else {
            return;
        };
        let limits = self.context.limits();
        if let Some(refusal) = client.refusal() {
            refusal.write_to(&mut socket, limits).await;
        }
        lingering_close(socket, limits, &self.reclaim).await;
    }

    /// Refuses a request that is incomplete as its connection ends, if it may have become complete
    /// since: its client is then owed a response.
    pub(super) fn refuse_incomplete_request(&self, client: &ClientConnection, end: ConnectionEnd) {
        if client.incomplete_since().is_none() {
            return;
        }
        let counters = self.context.counters();
        match end {
            ConnectionEnd::Idle => {}
            ConnectionEnd::TimedOut if client.socket_slot().has_unread_bytes() => {
                counters.clients_timed_out.inc();
                client.refuse(Refusal::OverCapacity);
            }
            ConnectionEnd::TimedOut => {}
            ConnectionEnd::IncompleteRequest => {
                counters.clients_evicted.inc();
                client.refuse(Refusal::OverCapacity);
            }
        }
    }
}
