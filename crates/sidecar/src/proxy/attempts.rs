//! The attempts of one request that are in flight. Each can be aborted; dropping the set drops all
//! of them.

use std::future::Future;

use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt as _, StreamExt as _};

use crate::message::AttemptResult;

/// An attempt that has ended, with its result.
pub(super) struct EndedAttempt {
    /// The attempt's number, from 0 in start order.
    pub attempt: u32,
    /// The attempt's result; `None` if it was aborted.
    pub result: Option<AttemptResult>,
}

/// The set of attempts in flight.
#[derive(Default)]
pub(super) struct Attempts {
    in_flight: FuturesUnordered<LocalBoxFuture<'static, EndedAttempt>>,
    /// Indexed by attempt number.
    abort_handles: Vec<AbortHandle>,
}

impl Attempts {
    /// Adds an attempt. Attempts must be added in the order of their numbers, from 0.
    pub(super) fn start(
        &mut self,
        attempt: u32,
        forward: impl Future<Output = AttemptResult> + 'static,
    ) {
        let (abort_handle, registration) = AbortHandle::new_pair();
        self.abort_handles.push(abort_handle);
        let forward = Abortable::new(forward, registration);
        let ended = async move {
            let result = forward.await.ok();
            EndedAttempt { attempt, result }
        };
        self.in_flight.push(ended.boxed_local());
    }

    /// Aborts an attempt; has no effect if it has ended or is unknown.
    pub(super) fn abort(&self, attempt: u32) {
        if let Some(abort_handle) = self.abort_handles.get(attempt as usize) {
            abort_handle.abort();
        }
    }

    /// Waits for the next attempt to end; returns `None` if none is in flight.
    pub(super) async fn next_ended(&mut self) -> Option<EndedAttempt> {
        self.in_flight.next().await
    }
}
