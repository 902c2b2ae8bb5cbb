//! When the endpoint list is polled.
//!
//! While there is a subscription, changes arrive by themselves and nothing is polled. A poll that
//! gets no response at all is repeated after three quarters of the longest interval. Where the list
//! is lost, polls back off exponentially with full jitter around the pause: `pause/2 +
//! random(0..=pause)`, with pauses of 0.2 s, 0.6 s, 1.8 s and so on up to half the longest
//! interval. Many balancers lose the list at once, and discovery handles a few calls a second,
//! whoever polls.

#[cfg(test)]
mod tests;

use crate::Micros;
use crate::settings::PollingSettings;

/// First pause after the list was lost, in microseconds: shorter pauses keep discovery saturated,
/// longer ones keep the list stale for longer. Inherited with the first version of the module; its
/// source was not recorded.
const INITIAL_BACKOFF: Micros = 200_000;
/// Growth of the pause with each failure in a row. Chosen by experiment: with 100 balancers a doubling
/// scored 0.867 on the quick days, a tripling 0.892 (docs/fleet.md, "slower backoff").
const BACKOFF_GROWTH: Micros = 3;
/// Part of the longest interval that the pause grows to.
const MAX_BACKOFF_DIVISOR: Micros = 2;
/// A poll without any response is repeated after this part of the longest interval, so that the
/// interval holds with some time to spare for the poll itself.
const POLL_TIMEOUT_NUMERATOR: Micros = 3;
const POLL_TIMEOUT_DENOMINATOR: Micros = 4;

/// What the failure of the list means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateFailure {
    /// A subscription broke: the list may be stale from now on.
    SubscriptionLost,
    /// A poll failed; there was no subscription.
    PollFailed,
}

/// The subscription to the endpoint list, and the backoff while there is none.
#[derive(Default)]
pub(crate) struct EndpointPoller {
    subscribed: bool,
    next_poll_at: Option<Micros>,
    backoff: Option<Micros>,
}

impl EndpointPoller {
    /// True where the list is to be polled.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.next_poll_at.is_some_and(|at| now >= at)
    }

    /// True where the deployment does not push the list, and no subscription stands: a drain may be
    /// unlisted.
    pub(crate) fn may_miss_drains(&self, settings: &PollingSettings) -> bool {
        settings.required && !self.subscribed
    }

    /// The list was polled.
    pub(crate) fn on_polled(&mut self, now: Micros, settings: &PollingSettings) {
        let poll_timeout =
            settings.max_interval * POLL_TIMEOUT_NUMERATOR / POLL_TIMEOUT_DENOMINATOR;
        self.next_poll_at = Some(now + poll_timeout);
    }

    /// A list or a change of it came.
    pub(crate) fn on_list_received(&mut self) {
        *self = Self {
            subscribed: true,
            next_poll_at: None,
            backoff: None,
        };
    }

    /// A poll failed or the subscription broke. Draws the jitter of the next poll.
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
