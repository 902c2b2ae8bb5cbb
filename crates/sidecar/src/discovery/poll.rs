//! Polls discovery until the head of a response arrives.
//!
//! Discovery handles calls in turn, so a call that waits keeps its place: to give it up and call
//! again would move the sidecar to the end of the queue, and a discovery that needs longer than the
//! time-out would never respond. But a call whose connection was lost without a word never ends, so
//! the poll is repeated beside it. At most [`MAX_PENDING_CALLS`] wait at a time: the oldest one and
//! the latest.

use std::pin::Pin;
use std::time::Duration;

use futures_util::future::select_all;
use tokio::time::{Instant, timeout_at};

use super::endpoint_sink::EndpointSink;
use super::watch_error::WatchError;
use crate::limits::DiscoveryLimits;

/// Most calls of a poll that wait for a response. More would not be served sooner.
const MAX_PENDING_CALLS: usize = 2;

/// A call that waits for the head of its response.
struct PendingCall<F> {
    started_at: Instant,
    response: Pin<Box<F>>,
}

/// A call that has ended.
struct EndedCall<R> {
    started_at: Instant,
    result: Result<R, WatchError>,
}

/// The calls that wait for a response, oldest first.
struct PendingCalls<F>(Vec<PendingCall<F>>);

/// Calls discovery until a call is answered or all have failed, and records what that shows about
/// the endpoint list.
///
/// # Errors
/// The failure of the last call that waited.
pub(super) async fn poll<R, F: Future<Output = Result<R, WatchError>>>(
    start_call: impl Fn() -> F,
    sink: &EndpointSink,
    limits: &DiscoveryLimits,
) -> Result<R, WatchError> {
    let mut calls = PendingCalls(Vec::with_capacity(MAX_PENDING_CALLS));
    loop {
        sink.on_poll_started();
        calls.push(start_call());
        let repeat_at = Instant::now() + limits.poll_repeat_delay;
        if let Some(ended) = calls.response_until(repeat_at).await {
            if let Err(error) = &ended.result {
                let failure = error.poll_failure(ended.started_at.elapsed());
                sink.on_poll_failed(failure, ended.started_at);
            }
            return ended.result;
        }
        sink.on_poll_delayed();
        tracing::warn!("poll is waiting for a response, polling again beside it");
        calls.make_room(limits.max_poll_wait);
    }
}

impl<R, F: Future<Output = Result<R, WatchError>>> PendingCalls<F> {
    fn push(&mut self, response: F) {
        self.0.push(PendingCall {
            started_at: Instant::now(),
            response: Box::pin(response),
        });
    }

    /// Waits for a response, or until all calls have failed. `None` if calls still wait at the
    /// deadline.
    async fn response_until(&mut self, deadline: Instant) -> Option<EndedCall<R>> {
        loop {
            let responses = self.0.iter_mut().map(|call| call.response.as_mut());
            let (result, index, _) = timeout_at(deadline, select_all(responses)).await.ok()?;
            let call = self.0.remove(index);
            if result.is_ok() || self.0.is_empty() {
                return Some(EndedCall {
                    started_at: call.started_at,
                    result,
                });
            }
        }
    }

    /// Gives up a call if no other may be started beside those that wait: the oldest one if it has
    /// waited for longer than `max_wait`, because its connection may be lost, or else the latest.
    fn make_room(&mut self, max_wait: Duration) {
        if self.0.len() < MAX_PENDING_CALLS {
            return;
        }
        let is_oldest_overdue = self
            .0
            .first()
            .is_some_and(|call| call.started_at.elapsed() >= max_wait);
        if is_oldest_overdue {
            self.0.remove(0);
        } else {
            self.0.pop();
        }
    }
}

#[cfg(test)]
mod tests;
