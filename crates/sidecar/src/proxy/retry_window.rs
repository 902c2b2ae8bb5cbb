//! Computes until when retries of a request may start: while servers still deduplicate them.

use std::time::Duration;

use arrowstand_balancer::Outcome;
use tokio::time::Instant;

/// The deduplication window of a request with an idempotency key. It starts with the first attempt
/// that may have been executed.
pub(super) struct RetryWindow {
    /// How long servers drop duplicates; `None` for a request whose class has no idempotency keys.
    window: Option<Duration>,
    margin: Duration,
    /// Start time of each attempt; `None` once it is known that the attempt was never executed.
    started_at: Vec<Option<Instant>>,
}

impl RetryWindow {
    /// Creates the window of a request without attempts. Retries must start at least `margin`
    /// before the window ends.
    pub(super) fn new(window: Option<Duration>, margin: Duration) -> Self {
        Self {
            window,
            margin,
            started_at: Vec::new(),
        }
    }

    /// Records an attempt that starts now. Returns the time before which its first byte must be
    /// sent, or `None` if there is no such limit.
    pub(super) fn on_attempt_started(&mut self, now: Instant) -> Option<Instant> {
        let window_start = self.started_at.iter().flatten().next().copied();
        self.started_at.push(Some(now));
        Some(window_start? + self.window?.saturating_sub(self.margin))
    }

    /// Records the outcome of an attempt, numbered from 0 in start order.
    pub(super) fn on_attempt_ended(&mut self, attempt: u32, outcome: Outcome) {
        let Some(started_at) = self.started_at.get_mut(attempt as usize) else {
            return;
        };
        if outcome.never_executed() {
            *started_at = None;
        }
    }
}

#[cfg(test)]
mod tests;
