//! Schedules polls of the endpoint list.
//!
//! While a subscription is active, updates are pushed and no poll is sent. A poll without a
//! response is repeated after three quarters of the maximum poll interval. When a poll fails or the
//! subscription is lost, polls are delayed by `backoff/2 + random(0..=backoff)`. The backoff starts
//! at 0.2 s and grows by a factor of 3 up to half the maximum poll interval. The backoff and its
//! jitter limit the load on the discovery service: it handles only a few calls per second, and many
//! balancers lose their subscription at the same time.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::settings::PollingSettings;

/// Backoff after the first failure, in microseconds. A shorter backoff keeps the discovery service
/// saturated; a longer one keeps the list stale for longer.
const INITIAL_BACKOFF: Micros = 200_000;
/// Factor by which the backoff grows with each consecutive failure. With 100 balancers, the result
/// in the quick benchmark is 0.867 with a factor of 2 and 0.892 with a factor of 3 (docs/fleet.md,
/// "slower backoff").
const BACKOFF_GROWTH: Micros = 3;
/// The maximum backoff is the maximum poll interval divided by this.
const MAX_BACKOFF_DIVISOR: Micros = 2;
/// Numerator of the poll timeout as a fraction of the maximum poll interval. The timeout is shorter
/// than the interval so that the repeated poll can complete within the interval.
const POLL_TIMEOUT_NUMERATOR: Micros = 3;
/// Denominator of the poll timeout as a fraction of the maximum poll interval.
const POLL_TIMEOUT_DENOMINATOR: Micros = 4;

/// Why an update of the endpoint list failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateFailure {
    /// The subscription was lost; the list may be stale from now on.
    SubscriptionLost,
    /// A poll failed while there was no subscription.
    PollFailed,
}

/// State of the endpoint list subscription, and the poll backoff while there is no subscription.
#[derive(Default)]
pub(crate) struct EndpointPoller {
    subscribed: bool,
    next_poll_at: Option<Micros>,
    backoff: Option<Micros>,
}

impl EndpointPoller {
    /// Returns true if the list must be polled now.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.next_poll_at.is_some_and(|at| now >= at)
    }

    /// Returns true if a server may drain without this balancer being notified: the list must be
    /// polled for and no subscription is active.
    pub(crate) fn may_miss_drains(&self, settings: &PollingSettings) -> bool {
        settings.required && !self.subscribed
    }

    /// Records a poll and sets its timeout.
    pub(crate) fn on_polled(&mut self, now: Micros, settings: &PollingSettings) {
        let poll_timeout =
            settings.max_interval * POLL_TIMEOUT_NUMERATOR / POLL_TIMEOUT_DENOMINATOR;
        self.next_poll_at = Some(now + poll_timeout);
    }

    /// Records a received list or incremental update; stops polling.
    pub(crate) fn on_list_received(&mut self) {
        *self = Self {
            subscribed: true,
            next_poll_at: None,
            backoff: None,
        };
    }

    /// Records a failed poll or a lost subscription and schedules the next poll with jitter.
    pub(crate) fn on_update_failed(
        &mut self,
        now: Micros,
        settings: &PollingSettings,
        rng: &mut fastrand::Rng,
    ) -> UpdateFailure {
        let failure = if self.subscribed {
            UpdateFailure::SubscriptionLost
        } else {
            UpdateFailure::PollFailed
        };
        let backoff = self.backoff.unwrap_or(INITIAL_BACKOFF);
        let max_backoff = settings.max_interval / MAX_BACKOFF_DIVISOR;
        *self = Self {
            subscribed: false,
            next_poll_at: Some(now + backoff / 2 + rng.u64(0..=backoff)),
            backoff: Some((BACKOFF_GROWTH * backoff).min(max_backoff)),
        };
        failure
    }
}
