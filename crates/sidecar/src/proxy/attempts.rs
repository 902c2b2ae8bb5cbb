//! The attempts of one request that are in flight, each of which can be aborted. Dropped, it drops
//! them all.

use std::future::Future;

use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt as _, StreamExt as _};

use crate::message::AttemptResult;

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    /// Its number, from 0 in the order of the starts.
    pub attempt: u32,
    /// How it ended; `None` where it was aborted.
    pub result: Option<AttemptResult>,
}

/// The attempts in flight.
#[derive(Default)]
pub(super) struct Attempts {
    in_flight: FuturesUnordered<LocalBoxFuture<'static, EndedAttempt>>,
    /// By the number of the attempt.
    abort_handles: Vec<AbortHandle>,
}

impl Attempts {
    /// Adds an attempt; numbers come in order, from 0.
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

    /// Aborts an attempt; one that has ended, or is unknown, is left alone.
    pub(super) fn abort(&self, attempt: u32) {
        if let Some(abort_handle) = self.abort_handles.get(attempt as usize) {
            abort_handle.abort();
        }
    }

    /// Waits until an attempt has ended; `None` where none is in flight.
    pub(super) async fn next_ended(&mut self) -> Option<EndedAttempt> {
        self.in_flight.next().await
    }
}
