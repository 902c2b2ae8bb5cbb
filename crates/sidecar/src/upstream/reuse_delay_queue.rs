//! Holds each connection whose response has been read for the reuse delay before it returns to the
//! pool.
//!
//! Some servers send a second response to the same request some milliseconds later. If the
//! connection were in use again by then, the second response would be read as the response to the
//! next request. The limits define the length of the delay.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use actix_http::BoxedPayloadStream;
use awc::ClientResponse;
use futures_util::{FutureExt as _, StreamExt as _};
use tokio::time::Instant;

/// A response as awc returns it. awc returns its connection to the pool when the end of its body is
/// polled.
pub(super) type AwcResponse = ClientResponse<BoxedPayloadStream>;

/// Responses that have been read up to, but not including, the poll for the end of the body: each
/// keeps its connection out of the pool until the reuse delay has passed.
///
/// Each entry holds a connection, so the limit on connections bounds the queue. Entries are
/// released when the next request needs a connection, so that an idle sidecar is not woken for
/// them.
pub(super) struct ReuseDelayQueue {
    delay: Duration,
    /// Oldest first, with the time at which each response was read.
    waiting: RefCell<VecDeque<(Instant, AwcResponse)>>,
}

impl ReuseDelayQueue {
    /// Creates an empty queue that holds each connection for `delay` after its response.
    pub(super) fn new(delay: Duration) -> Self {
        Self {
            delay,
            waiting: RefCell::default(),
        }
    }

    /// Starts the delay for the connection of a response that has been read.
    pub(super) fn push(&self, response: AwcResponse) {
        self.waiting
            .borrow_mut()
            .push_back((Instant::now(), response));
    }

    /// Returns to the pool all connections whose delay is over.
    pub(super) fn release_due(&self, now: Instant) {
        while let Some(mut response) = self.pop_due(now) {
            // The end of the body is available without a read from the socket; otherwise the
            // connection is closed.
            let _ = response.next().now_or_never();
        }
    }

    fn pop_due(&self, now: Instant) -> Option<AwcResponse> {
        let mut waiting = self.waiting.borrow_mut();
        let (finished_at, _) = waiting.front()?;
        if now.duration_since(*finished_at) < self.delay {
            return None;
        }
        waiting.pop_front().map(|(_, response)| response)
    }
}
