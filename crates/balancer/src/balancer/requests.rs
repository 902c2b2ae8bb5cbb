//! Handlers for requests: arrival, dispatch, retries and final response.

use crate::balancer::Balancer;
use crate::policy::{
    Candidates, FinalResponse, LoadCheckResult, LoadChecker, LoadShedder, LoadSource, LoadStatus,
    RetryDecision, RetryPolicy, RetryTarget, Selection, ServerSelector, ServerWait, ShedDecision,
};
use crate::state::{InFlightAttempt, RequestState, RetryScope, ServerIndex};
use crate::{Action, Actions, AttemptEnd, IncomingRequest, RequestId, ServerId};

/// Result of trying to retry a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryResult {
    /// Another attempt was sent.
    Sent,
    /// No attempt was sent.
    NotSent,
}

impl Balancer {
    /// Handles the arrival of a request: dispatches it, starts load checks for it, or rejects it.
    pub(super) fn on_request_arrived(&mut self, incoming: &IncomingRequest, actions: &mut Actions) {
        let class_index = usize::from(incoming.class.0);
        let Some(class) = self.fleet.settings.classes.get(class_index) else {
            actions.push(Action::Reject {
                request: incoming.id,
                retry_after: None,
            });
            return;
        };
        let now = self.fleet.now;
        let hint = incoming.work_hint.unwrap_or(0) as f64;
        let workload = &mut self.fleet.estimators.workload;
        let relative_work = workload.on_request_arrived(class, hint, now);
        let request = RequestState::new(incoming, class, relative_work, now);
        let decision = LoadShedder::decide_on_arrival(&self.fleet, incoming, class, &request);
        self.requests.on_request_arrived(incoming.id, request);
        self.policies.retry_policy.on_request_arrived();
        if decision != ShedDecision::Admit {
            self.reject_or_fail(incoming.id, actions);
        } else if self.fleet.settings.load_source() == LoadSource::LoadChecks {
            self.start_load_checks(incoming.id, actions);
        } else {
            self.dispatch(incoming.id, actions);
        }
    }

    /// Starts load checks for a request. The request is dispatched once all of them have ended or a
    /// timer expires, or at once if no server can be checked.
    fn start_load_checks(&mut self, id: RequestId, actions: &mut Actions) {
        let policies = &self.policies;
        let candidates = policies.check_candidates(&mut self.fleet, &mut self.rng);
        let servers = LoadChecker::choose_servers(&self.fleet, candidates, &mut self.rng);
        let ids: Vec<ServerId> = servers
            .iter()
            .map(|&server| self.fleet.servers[server].id())
            .collect();
        for server in servers {
            self.start_unscheduled_health_check(server, actions);
        }
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if ids.is_empty() {
            self.dispatch(id, actions);
            return;
        }
        let timeout = LoadChecker::timeout(request);
        request.on_load_checks_started(ids);
        self.set_request_timer(id, timeout, actions);
    }

    /// Dispatches the requests for which the health check that ended was the last load check.
    pub(super) fn on_load_check_ended(&mut self, server: ServerId, actions: &mut Actions) {
        for id in self.requests.on_load_check_ended(server) {
            self.dispatch(id, actions);
        }
    }

    /// Sends the first attempt of a request, delays it until a server is known, or ends it with a
    /// rejection or failure.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let load_checks = LoadChecker::least_loaded(&self.fleet, request);
        let candidates = self.first_attempt_candidates(load_checks);
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let selection = ServerSelector::select(&self.fleet, request, &candidates, &mut self.rng);
        let load_shedder = &mut self.policies.load_shedder;
        let decision =
            load_shedder.decide_after_selection(&self.fleet, request, selection, &mut self.rng);
        match selection {
            Selection::NoCandidate => {
                match ServerSelector::wait_for_server(self.fleet.now, request) {
                    ServerWait::WaitFor(after) => self.set_request_timer(id, after, actions),
                    ServerWait::MaxWaitReached => self.reject_or_fail(id, actions),
                }
            }
            Selection::Server(server) | Selection::LateServer(server) => match decision {
                ShedDecision::Admit => self.send(id, server, actions),
                _ => self.reject_or_fail(id, actions),
            },
        }
    }

    /// Returns the least loaded servers found by load checks, or, if there are none, all candidates
    /// of the subset.
    fn first_attempt_candidates(&mut self, load_checks: LoadCheckResult) -> Candidates {
        let (mut servers, load_status) = match load_checks {
            LoadCheckResult::LeastLoaded(servers) => (servers, LoadStatus::Checked),
            LoadCheckResult::NotChecked => (Vec::new(), LoadStatus::Unchecked),
        };
        if servers.is_empty() {
            servers = self.candidates(RetryScope::Anywhere, &[]);
        }
        Candidates {
            servers,
            load_status,
        }
    }

    fn candidates(&mut self, scope: RetryScope, tried: &[ServerId]) -> Vec<ServerIndex> {
        let fleet = &mut self.fleet;
        self.policies.candidates(fleet, scope, tried, &mut self.rng)
    }

    /// Sends an attempt of a request to a server.
    fn send(&mut self, id: RequestId, server: ServerIndex, actions: &mut Actions) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let now = self.fleet.now;
        let timeout = RetryPolicy::attempt_timeout(&self.fleet, request);
        let estimates = self.fleet.estimates();
        let queue_depth = estimates.queue_depth(&self.fleet.servers[server]);
        let relative_work = request.relative_work();
        let server = &mut self.fleet.servers[server];
        actions.push(Action::Send {
            request: id,
            server: server.id(),
            timeout: Some(timeout),
        });
        let sent = InFlightAttempt {
            request: id,
            attempt: request.on_attempt_sent(server.endpoint(), now),
            sent_at: now,
            relative_work,
            queue_depth,
        };
        server.on_attempt_sent(sent, &self.fleet.settings.slow_start);
        self.policies
            .slow_start_admission
            .on_work_sent(&self.fleet, relative_work);
    }

    /// Handles the end of an attempt. Its request is finished, waits for another attempt in flight,
    /// is retried, or ends with a rejection or failure.
    pub(super) fn on_attempt_ended(&mut self, end: &AttemptEnd, actions: &mut Actions) {
        if let Some(server) = self.fleet.servers.find(end.server) {
            self.record_attempt_end(server, end, actions);
        }
        let Some(request) = self.requests.get_mut(end.request) else {
            return;
        };
        request.on_attempt_ended(end.attempt, end.outcome);
        let is_waiting = request.in_flight_count() > 0;
        if end.request_finished {
            self.finish(end.request, actions);
        } else if !is_waiting && self.retry(end.request, actions) == RetryResult::NotSent {
            self.reject_or_fail(end.request, actions);
        }
    }

    /// Sends another attempt of a request, as a retry or a hedged request, if the retry policy
    /// permits it and there is a suitable server.
    pub(super) fn retry(&mut self, id: RequestId, actions: &mut Actions) -> RetryResult {
        let Some(request) = self.requests.get(id) else {
            return RetryResult::NotSent;
        };
        let decision = self.policies.retry_policy.decide(&self.fleet, request);
        let RetryDecision::Retry { scope, prior } = decision else {
            return RetryResult::NotSent;
        };
        let tried = request.tried_servers();
        let Some(server) = self.select_for_retry(id, scope, &tried) else {
            return RetryResult::NotSent;
        };
        self.policies.retry_policy.on_retry(prior);
        self.send(id, server, actions);
        RetryResult::Sent
    }

    fn select_for_retry(
        &mut self,
        id: RequestId,
        scope: RetryScope,
        tried: &[ServerId],
    ) -> Option<ServerIndex> {
        let candidates = Candidates {
            servers: self.candidates(scope, tried),
            load_status: LoadStatus::Unchecked,
        };
        let request = self.requests.get(id)?;
        let selection = ServerSelector::select(&self.fleet, request, &candidates, &mut self.rng);
        let server = selection.server()?;
        let target = RetryPolicy::assess_target(&self.fleet.servers[server]);
        let load_shedder = &self.policies.load_shedder;
        let is_suitable = target == RetryTarget::Suitable
            && !load_shedder.responds_too_late(&self.fleet, request, server);
        is_suitable.then_some(server)
    }

    /// Sends the final response to a request that gets no further attempt: a rejection if a retry
    /// by the client is harmless, otherwise a failure. The reason is not reported to the client.
    fn reject_or_fail(&mut self, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let action = match FinalResponse::decide(&self.fleet, request, &mut self.rng) {
            FinalResponse::Reject { retry_after } => Action::Reject {
                request: id,
                retry_after,
            },
            FinalResponse::Fail => Action::Fail { request: id },
        };
        actions.push(action);
        self.finish(id, actions);
    }

    /// Removes a request that has its final response or whose client disconnected, and cancels its
    /// attempts in flight if possible.
    pub(super) fn finish(&mut self, id: RequestId, actions: &mut Actions) {
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
}
