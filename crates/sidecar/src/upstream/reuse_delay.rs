//! Connections whose answer has just ended: the pool gets them back once a second answer would have come.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use actix_http::BoxedPayloadStream;
use awc::ClientResponse;
use futures_util::{FutureExt as _, StreamExt as _};
use tokio::time::Instant;

/// An answer of which all but the end has been asked for: awc gives its connection back at that.
type Ended = ClientResponse<BoxedPayloadStream>;

/// Guards against connections opened for want of those that rest. Each holds one of the bounded connections, so there
/// are no more of them. They go back as the next request looks for one: a quiet sidecar is not woken for it.
pub struct ReuseDelay {
    rest: Duration,
    held: RefCell<VecDeque<(Instant, Ended)>>,
}

impl ReuseDelay {
    pub fn new(rest: Duration) -> Self {
        Self {
            rest,
            held: RefCell::default(),
        }
    }

    pub fn hold(&self, answer: Ended) {
        self.held.borrow_mut().push_back((Instant::now(), answer));
    }

    /// Gives back those that have rested by now.
    pub fn release(&self, now: Instant) {
        loop {
            let mut held = self.held.borrow_mut();
            let rested = held
                .front()
                .is_some_and(|(ended, _)| now.duration_since(*ended) >= self.rest);
            if !rested {
                return;
            }
            let Some((_, mut answer)) = held.pop_front() else {
                return;
            };
            drop(held);
            // The end is there without a look at the socket; else the connection is closed.
            let _ = answer.next().now_or_never();
        }
    }
}
