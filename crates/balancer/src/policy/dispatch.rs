//! The path of a request: arrival, first attempt and end.

use crate::balancer::{Balancer, REQUEST_TIMER_TOKEN, TICK_INTERVAL};
use crate::policy::load_source::LoadSource;
use crate::policy::retry_policy::RetryPolicy;
use crate::state::{InFlightAttempt, RequestState, RetryScope, ServerIndex};
use crate::{Action, Actions, AttemptEnd, IncomingRequest, Micros, RequestId};

/// A request without a work hint is not sent with less time than this share of the mean service time.
const MIN_WORK_SHARE: f64 = 0.5;
/// Share of the latency objective that a request may wait for a first server to be known.
const MAX_WAIT_SHARE: f64 = 0.5;

impl Balancer {
    /// A request arrived: it is sent, waits for load checks or for a server, or is rejected.
    pub(crate) fn on_request_arrived(&mut self, incoming: &IncomingRequest, actions: &mut Actions) {
        let Some(class) = self
            .fleet
            .settings
            .classes
            .get(usize::from(incoming.class.0))
        else {
            actions.push(Action::Reject {
                request: incoming.id,
                retry_after: None,
            });
            return;
        };
        let hint = incoming.work_hint.unwrap_or(0) as f64;
        let relative_work =
            self.fleet
                .estimators
                .workload
                .on_request_arrived(class, hint, self.fleet.now);
        let request = RequestState::new(incoming, class, relative_work, self.fleet.now);
        let work = if hint > 0.0 {
            hint
        } else {
            self.fleet.estimators.latency.mean_service_time() * MIN_WORK_SHARE
        };
        let hopeless = class.late_value == 0.0 && work > request.objective() as f64;
        self.requests.on_request_arrived(incoming.id, request);
        self.policies.retry_policy.on_request_arrived();
        if hopeless || incoming.time_left == 0 {
            self.reject_or_fail(incoming.id, actions);
        } else if self.fleet.settings.load_source() == LoadSource::LoadChecks {
            self.start_load_checks(incoming.id, actions);
        } else {
            self.dispatch(incoming.id, actions);
        }
    }

    /// Sends the first attempt of a request, has it wait for a server, or rejects it.
    pub(crate) fn dispatch(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let max_wait = (request.objective() as f64 * MAX_WAIT_SHARE) as Micros;
        let wait_until = request.deadline_at().min(request.arrived_at() + max_wait);
        let load_checked = self.load_checked_servers(request);
        let picked = self.pick(id, RetryScope::Anywhere, &[], load_checked);
        let late = picked.is_some_and(|server_index| self.is_too_late(server_index, id));
        let missed = late || picked.is_some_and(|server_index| self.expects_miss(server_index, id));
        self.fleet
            .estimators
            .missed_objectives
            .on_server_picked(missed);
        match picked {
            Some(server_index) if !late && !self.should_shed(id) => {
                self.send(id, server_index, actions)
            }
            None if self.fleet.now + 2 * TICK_INTERVAL < wait_until => {
                self.set_request_timer(id, TICK_INTERVAL, actions);
            }
            _ => self.reject_or_fail(id, actions),
        }
    }

    /// Sends an attempt of a request to a server.
    pub(crate) fn send(&mut self, id: RequestId, server_index: ServerIndex, actions: &mut Actions) {
        let now = self.fleet.now;
        let estimates = self.fleet.estimates();
        let queue_depth = estimates.queue_depth(&self.fleet.servers[server_index]);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let timeout = Some(RetryPolicy::attempt_timeout(&self.fleet, request));
        let server = &mut self.fleet.servers[server_index];
        let relative_work = request.relative_work();
        actions.push(Action::Send {
            request: id,
            server: server.id(),
            timeout,
        });
        let attempt = request.on_attempt_sent(server.endpoint(), now);
        let sent = InFlightAttempt {
            request: id,
            attempt,
            sent_at: now,
            relative_work,
            queue_depth,
        };
        server.on_attempt_sent(sent, &self.fleet.settings.slow_start);
        self.policies
            .slow_start_admission
            .on_work_sent(&self.fleet, relative_work);
    }

    /// Forgets a request that has its final response and cancels its attempts in flight.
    pub(crate) fn finish(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.on_request_finished(id) else {
            return;
        };
        if self.fleet.settings.host.cancellation && !request.is_streaming() {
            let cancel = |attempt| Action::Cancel {
                request: id,
                attempt,
            };
            actions.extend(request.in_flight_attempts().map(cancel));
        }
    }

    pub(crate) fn on_response_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.on_response_started();
        }
    }

    /// Dispatches the requests whose timers are due.
    pub(crate) fn on_request_timer(&mut self, actions: &mut Actions) {
        while let Some(id) = self.requests.take_due(self.fleet.now) {
            self.dispatch(id, actions);
        }
    }

    /// Dispatches a request after this time, unless it is sent before.
    pub(crate) fn set_request_timer(
        &mut self,
        id: RequestId,
        after: Micros,
        actions: &mut Actions,
    ) {
        self.requests.set_timer(id, self.fleet.now + after);
        actions.push(Action::SetTimer {
            token: REQUEST_TIMER_TOKEN,
            after,
        });
    }

    /// An attempt ended: its request is finished, waits for another attempt, is retried or fails.
    pub(crate) fn on_attempt_ended(&mut self, end: &AttemptEnd, actions: &mut Actions) {
        if let Some(server) = self.fleet.servers.find(end.server) {
            self.record_attempt_end(server, end, actions);
        }
        let Some(request) = self.requests.get_mut(end.request) else {
            return;
        };
        request.on_attempt_ended(end.attempt, end.outcome.never_executed());
        if end.finished {
            self.finish(end.request, actions);
        } else if request.in_flight_count() == 0 && !self.retry(end.request, actions) {
            self.reject_or_fail(end.request, actions);
        }
    }
}
