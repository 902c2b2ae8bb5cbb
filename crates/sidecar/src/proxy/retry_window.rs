//! Until when a request's retries may start: for as long as servers still drop them as duplicates.

use std::time::Duration;

use arrowstand_balancer::Outcome;
use tokio::time::Instant;

/// The deduplication window of a request with an idempotency key: it opens with the first attempt
/// that may have been executed.
pub(super) struct RetryWindow {
    /// How long servers drop duplicates; `None` for a request without an idempotency key.
    window: Option<Duration>,
    margin: Duration,
    /// When each attempt started; `None` once it is known never to have been executed.
    started_at: Vec<Option<Instant>>,
}

impl RetryWindow {
    /// A window of this length for a request without attempts; retries start by the margin before
    /// its end.
    pub(super) fn new(window: Option<Duration>, margin: Duration) -> Self {
        Self {
            window,
            margin,
            started_at: Vec::new(),
        }
    }

    /// Records an attempt that starts now; returns until when its first byte may be sent, where
    /// that is bounded.
    pub(super) fn on_attempt_started(&mut self, now: Instant) -> Option<Instant> {
        let window_start = self.started_at.iter().flatten().next().copied();
        self.started_at.push(Some(now));
        Some(window_start? + self.window?.saturating_sub(self.margin))
    }

    /// Records how an attempt ended, by its number in the order of the starts.
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
