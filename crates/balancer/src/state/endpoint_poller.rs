//! When the endpoint list is polled next. The pauses are decided in `policy/endpoints.rs`.

use crate::Micros;

/// The subscription to the endpoint list, and the backoff while there is none.
#[derive(Default)]
pub(crate) struct EndpointPoller {
    subscribed: bool,
    next_poll_at: Option<Micros>,
    backoff: Option<Micros>,
}

impl EndpointPoller {
    /// True while changes of the list arrive by themselves.
    pub(crate) fn is_subscribed(&self) -> bool {
        self.subscribed
    }

    /// The backoff at the next loss of the list; `None` at the first one since a list came.
    pub(crate) fn backoff(&self) -> Option<Micros> {
        self.backoff
    }

    /// True where the list is to be polled.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.next_poll_at.is_some_and(|at| now >= at)
    }

    /// The list was polled; without a response it is polled again at this time.
    pub(crate) fn on_polled(&mut self, next_poll_at: Micros) {
        self.next_poll_at = Some(next_poll_at);
    }

    /// A list or a change of it came.
    pub(crate) fn on_list_received(&mut self) {
        *self = Self {
            subscribed: true,
            next_poll_at: None,
            backoff: None,
        };
    }

    /// A poll failed or the subscription broke.
    pub(crate) fn on_list_lost(&mut self, next_poll_at: Micros, next_backoff: Micros) {
        *self = Self {
            subscribed: false,
            next_poll_at: Some(next_poll_at),
            backoff: Some(next_backoff),
        };
    }
}
