//! The requests without a final response, and their timers.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use crate::state::request_state::RequestState;
use crate::{Micros, RequestId, ServerId};

/// Requests by id, and the timers by due time.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, RequestState>,
    timers: BTreeSet<(Micros, RequestId)>,
}

impl RequestTable {
    /// Returns a request without a final response.
    pub(crate) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.requests.get(&id)
    }

    /// Returns a request without a final response, for updates.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(&id)
    }

    /// Adds a request that has arrived.
    pub(crate) fn on_request_arrived(&mut self, id: RequestId, request: RequestState) {
        self.requests.insert(id, request);
    }

    /// Removes a request that got its final response or whose client disconnected.
    pub(crate) fn on_request_finished(&mut self, id: RequestId) -> Option<RequestState> {
        self.requests.remove(&id)
    }

    /// Sets the timer of a request, replacing any earlier one.
    pub(crate) fn set_timer(&mut self, id: RequestId, at: Micros) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.on_timer_set(at);
        }
        self.timers.insert((at, id));
    }

    /// Removes the next due timer of a request without attempts, and returns the request; its wait
    /// for load checks ends. Replaced timers and those of sent or finished requests are dropped.
    pub(crate) fn take_due(&mut self, now: Micros) -> Option<RequestId> {
        while let Some(&(at, id)) = self.timers.first().filter(|timer| timer.0 <= now) {
            self.timers.remove(&(at, id));
            let is_valid = |request: &&mut RequestState| {
                request.timer_at() == at && request.attempt_count() == 0
            };
            if let Some(request) = self.requests.get_mut(&id).filter(is_valid) {
                request.on_timer_fired();
                return Some(id);
            }
        }
        None
    }

    /// Records the end of a server's load check; returns the requests that have none pending any
    /// more, by id.
    pub(crate) fn on_load_check_ended(&mut self, server: ServerId) -> Vec<RequestId> {
        let ready = |(&id, request): (&RequestId, &mut RequestState)| {
            request.on_load_check_ended(server).then_some(id)
        };
        self.requests.iter_mut().filter_map(ready).collect()
    }
}
