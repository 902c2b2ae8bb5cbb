//! When the endpoint list is polled next. The pauses are decided in `policy/endpoints.rs`.

use crate::Micros;

/// The subscription to the endpoint list, and the backoff while there is none.
pub(crate) struct EndpointPoller {
    subscribed: bool,
    next_poll_at: Option<Micros>,
    backoff: Micros,
}

impl EndpointPoller {
    /// A poller without a list.
    pub(crate) fn new(initial_backoff: Micros) -> Self {
        Self { subscribed: false, next_poll_at: None, backoff: initial_backoff }
    }

    /// True while changes of the list arrive by themselves.
    pub(crate) fn is_subscribed(&self) -> bool {
        self.subscribed
    }

    /// The pause that the next loss of the list starts from.
    pub(crate) fn backoff(&self) -> Micros {
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
    pub(crate) fn on_list_received(&mut self, initial_backoff: Micros) {
        *self = Self { subscribed: true, next_poll_at: None, backoff: initial_backoff };
    }

    /// A poll failed or the subscription broke.
    pub(crate) fn on_list_lost(&mut self, next_poll_at: Micros, backoff: Micros) {
        *self = Self { subscribed: false, next_poll_at: Some(next_poll_at), backoff };
    }
}
