//! The requests without a final response, and their timers.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use crate::state::request_state::RequestState;
use crate::{Micros, RequestId, ServerId};

/// Requests by id, and when each is to be looked at again.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
    timers: BTreeSet<(Micros, RequestId)>,
}

impl RequestTable {
    /// A request without a final response.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// The same, to record what happened to it.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// A request arrived.
    pub(crate) fn on_request_arrived(&mut self, id: RequestId, request: RequestState) {
        self.requests.insert(id, request);
    }

    /// A request got its final response, or its client left.
    pub(crate) fn on_request_finished(&mut self, id: RequestId) -> Option<RequestState> {
        self.requests.remove(&id)
    }

    /// Sets a request's timer in place of any earlier one.
    pub(crate) fn set_timer(&mut self, id: RequestId, at: Micros) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.on_timer_set(at);
        }
        self.timers.insert((at, id));
    }

    /// The next request whose timer is due and that was not sent yet; its timer and awaited load
    /// checks end.
    pub(crate) fn take_due(&mut self, now: Micros) -> Option<RequestId> {
        while let Some(&(at, id)) = self.timers.first().filter(|timer| timer.0 <= now) {
            self.timers.remove(&(at, id));
            let valid = |request: &&mut RequestState| {
                request.timer_at() == at && request.attempt_count() == 0
            };
            if let Some(request) = self.requests.get_mut(&id).filter(valid) {
                request.on_timer_fired();
                return Some(id);
            }
        }
        None
    }

    /// A server's load check ended; returns the requests that awaited nothing else, by id.
    pub(crate) fn on_load_check_ended(&mut self, server: ServerId) -> Vec<RequestId> {
        let ready = |(&id, request): (&RequestId, &mut RequestState)| {
            request.on_load_check_ended(server).then_some(id)
        };
        self.requests.iter_mut().filter_map(ready).collect()
    }
}
