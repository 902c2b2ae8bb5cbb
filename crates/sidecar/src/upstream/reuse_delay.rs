//! Connections whose response has just been read: the pool gets each back only after the reuse
//! delay.
//!
//! Some servers send a second response to the same request, some milliseconds late. On a connection
//! that is in use again it would be taken for the response to the next request. The delay's length
//! is set by the limits.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use actix_http::BoxedPayloadStream;
use awc::ClientResponse;
use futures_util::{FutureExt as _, StreamExt as _};
use tokio::time::Instant;

/// A response whose end alone has not been polled for yet: awc returns its connection to the pool
/// at that poll.
pub(super) type FinishedResponse = ClientResponse<BoxedPayloadStream>;

/// The finished responses whose connections wait for the reuse delay to pass.
///
/// Each holds one of the connections that the limits allow, so there are no more of them. They are
/// released when the next request looks for a connection: an idle sidecar is not woken for it.
pub(super) struct ReuseDelay {
    delay: Duration,
    /// Oldest first, with the time at which each was finished.
    waiting: RefCell<VecDeque<(Instant, FinishedResponse)>>,
}

impl ReuseDelay {
    /// Holds each connection back for `delay` after its response.
    pub(super) fn new(delay: Duration) -> Self {
        Self {
            delay,
            waiting: RefCell::default(),
        }
    }

    /// Starts the delay of a response's connection.
    pub(super) fn on_response_finished(&self, response: FinishedResponse) {
        self.waiting
            .borrow_mut()
            .push_back((Instant::now(), response));
    }

    /// Returns those connections to the pool whose delay has passed.
    pub(super) fn release_due(&self, now: Instant) {
        while let Some(mut response) = self.take_due(now) {
            // The end is there without a read from the socket; otherwise the connection is closed.
            let _ = response.next().now_or_never();
        }
    }

    fn take_due(&self, now: Instant) -> Option<FinishedResponse> {
        let mut waiting = self.waiting.borrow_mut();
        let (finished_at, _) = waiting.front()?;
        if now.duration_since(*finished_at) < self.delay {
            return None;
        }
        waiting.pop_front().map(|(_, response)| response)
    }
}
