//! Handlers for servers: results of attempts and health checks, ejection and readmission.

use crate::balancer::Balancer;
use crate::policy::{
    EjectionDecision, FailureDetector, GossipProtocol, HealthAction, HealthSignal, LoadChecker,
    Readmission, ReportValidity, SuspicionScope,
};
use crate::state::{HealthCheckKind, InFlightAttempt, ServerIndex};
use crate::{
    Action, Actions, AttemptEnd, EjectionCause, LoadReport, Outcome, RequestId, ServerEvent,
    ServerId, StateChange,
};

impl Balancer {
    /// Updates the state of a server with the result of an attempt.
    pub(super) fn record_attempt_end(
        &mut self,
        index: ServerIndex,
        end: &AttemptEnd,
        actions: &mut Actions,
    ) {
        self.on_load_report(index, end.load_report);
        let now = self.fleet.now;
        let server = &mut self.fleet.servers[index];
        let Some(attempt) = server.on_attempt_ended(end.request, end.attempt) else {
            return;
        };
        match HealthSignal::from_outcome(server, &attempt, end.outcome) {
            HealthSignal::Served => {
                server.failures.on_served(now);
                self.on_response(index, &attempt);
                self.policies.failure_detector.on_served();
                self.readmit(index, actions);
            }
            HealthSignal::Slow => self.on_response(index, &attempt),
            HealthSignal::Rejected => self.on_attempt_rejected(index, &attempt),
            HealthSignal::Failed => self.on_attempt_failed(index, end.outcome, actions),
            HealthSignal::Inconclusive => {}
        }
    }

    /// Records a latency sample: a response, or a timeout of a server that serves other attempts.
    fn on_response(&mut self, index: ServerIndex, attempt: &InFlightAttempt) {
        let now = self.fleet.now;
        let latency = now.saturating_sub(attempt.sent_at) as f64;
        if let Some(request) = self.requests.get(attempt.request) {
            let fraction = (latency / request.objective() as f64).min(1.0);
            self.policies.load_shedder.on_response(fraction, now);
        }
        let server = &mut self.fleet.servers[index];
        let settings = &self.fleet.settings;
        self.fleet
            .estimators
            .on_response(server, attempt, latency, now, settings);
        self.policies.failure_detector.on_response(latency);
    }

    /// Handles a rejected attempt. The server has not failed: its load is higher than estimated, or
    /// it is draining.
    fn on_attempt_rejected(&mut self, index: ServerIndex, attempt: &InFlightAttempt) {
        let now = self.fleet.now;
        let polling = &self.fleet.settings.polling;
        let may_be_draining = self.policies.endpoint_poller.may_miss_drains(polling);
        let server = &mut self.fleet.servers[index];
        server.on_rejected(attempt.queue_depth, now);
        if may_be_draining {
            server.on_possible_drain();
        }
        self.policies.load_shedder.on_rejected(now);
    }

    fn on_attempt_failed(&mut self, index: ServerIndex, outcome: Outcome, actions: &mut Actions) {
        let failures = self.fleet.servers[index].failures.on_failed();
        self.expedite_check(index);
        let detector = &mut self.policies.failure_detector;
        let health_action = detector.on_attempt_failed(failures, outcome);
        self.apply_health_action(health_action, index, actions);
    }

    /// Records the load report of a response or a health check, if it is plausible.
    fn on_load_report(&mut self, index: ServerIndex, report: Option<LoadReport>) {
        let Some(report) = report else {
            return;
        };
        let source = self.fleet.settings.load_source();
        let server = &mut self.fleet.servers[index];
        match LoadChecker::validate_report(source, server, report) {
            ReportValidity::Accepted { in_flight } => {
                server.on_load_report(in_flight, source, self.fleet.now);
                self.fleet.estimators.utilization.on_load_report(in_flight);
            }
            ReportValidity::ContradictsOwnAttempts | ReportValidity::Malformed => {}
        }
    }

    /// Handles the end of a health check.
    pub(super) fn on_health_check_ended(
        &mut self,
        id: ServerId,
        outcome: Outcome,
        report: Option<LoadReport>,
        actions: &mut Actions,
    ) {
        let Some(index) = self.fleet.servers.find(id) else {
            return;
        };
        self.on_load_report(index, report);
        let servers = &mut self.fleet.servers;
        let kind = servers.on_health_check_ended(index, outcome);
        self.confirm_to_peers(index, outcome, actions);
        let server = &mut self.fleet.servers[index];
        let health_action = if outcome == Outcome::Served {
            server.health_check.on_succeeded();
            FailureDetector::evaluate_successful_check(self.fleet.now, server)
        } else if kind == HealthCheckKind::Unscheduled {
            HealthAction::ExpediteCheck
        } else {
            FailureDetector::evaluate_failed_check(&self.fleet, &self.fleet.servers[index])
        };
        self.apply_health_action(health_action, index, actions);
        self.on_load_check_ended(id, actions);
    }

    /// Reports a successful health check to the balancers that requested an indirect check. A
    /// failure is not reported; the requests are discarded in either case.
    fn confirm_to_peers(&mut self, index: ServerIndex, outcome: Outcome, actions: &mut Actions) {
        let server = &mut self.fleet.servers[index];
        let requesters = server.health_check.take_requesters();
        if outcome == Outcome::Served {
            let answers = GossipProtocol::confirm_alive(server, requesters);
            actions.extend(answers.map(Action::from));
        }
    }

    /// Evaluates the suspicion of a server, on every tick.
    pub(super) fn evaluate_server(&mut self, index: ServerIndex, actions: &mut Actions) {
        let detector = &self.policies.failure_detector;
        let health_action = detector.evaluate_server(&self.fleet, &self.fleet.servers[index]);
        let now = self.fleet.now;
        self.fleet.servers[index]
            .health_check
            .end_due_confirmation(now);
        self.apply_health_action(health_action, index, actions);
        if health_action == HealthAction::DeclareDead {
            // The suspicion may end within the same tick.
            let detector = &self.policies.failure_detector;
            let next = detector.evaluate_server(&self.fleet, &self.fleet.servers[index]);
            self.apply_health_action(next, index, actions);
        }
    }

    /// Applies an action decided by the failure detector.
    pub(super) fn apply_health_action(
        &mut self,
        health_action: HealthAction,
        index: ServerIndex,
        actions: &mut Actions,
    ) {
        match health_action {
            HealthAction::NoAction => {}
            HealthAction::ConfirmAt(at) => {
                let server = &mut self.fleet.servers[index];
                server.health_check.on_failed();
                server.health_check.on_confirmation_scheduled(at);
                let settings = &self.fleet.settings;
                let requests =
                    GossipProtocol::request_indirect_checks(settings, server, &mut self.rng);
                actions.extend(requests.map(Action::from));
            }
            HealthAction::CheckAgain => {
                self.fleet.servers[index].health_check.on_failed();
                self.start_health_check(index, actions);
            }
            HealthAction::ExpediteCheck => self.expedite_check(index),
            HealthAction::Eject { cause, scope } => self.eject(index, cause, scope, actions),
            HealthAction::DeclareDead => {
                let server = &mut self.fleet.servers[index];
                server.suspicion.on_declared_dead();
                record_server_event(ServerEvent::DeclaredDead, server.id(), actions);
            }
            HealthAction::Readmit => self.readmit(index, actions),
        }
    }

    /// Schedules a server as the next one to be checked and brings that check forward.
    pub(super) fn expedite_check(&mut self, index: ServerIndex) {
        let id = self.fleet.servers[index].id();
        self.policies.health_checker.expedite(id, self.fleet.now);
    }

    /// Marks a server as suspected, unless the ejection policy does not accept the evidence, and
    /// retries its attempts in flight on other servers.
    fn eject(
        &mut self,
        index: ServerIndex,
        cause: EjectionCause,
        scope: SuspicionScope,
        actions: &mut Actions,
    ) {
        let server = &self.fleet.servers[index];
        let ejection = EjectionDecision::decide(&self.fleet, server, cause);
        let EjectionDecision::Eject {
            suspicion,
            earlier_ejections,
        } = ejection
        else {
            return;
        };
        let server = &mut self.fleet.servers[index];
        server.suspicion.on_ejected(suspicion, earlier_ejections);
        record_server_event(ServerEvent::Ejected { cause }, server.id(), actions);
        self.retry_attempts_in_flight(index, actions);
        if scope == SuspicionScope::AllBalancers {
            let server = &self.fleet.servers[index];
            self.policies
                .gossip
                .queue_suspicion(&self.fleet.settings, server);
        }
    }

    /// Retries the requests that have an attempt in flight at a server.
    fn retry_attempts_in_flight(&mut self, index: ServerIndex, actions: &mut Actions) {
        let attempts = self.fleet.servers[index].in_flight().iter();
        let requests: Vec<RequestId> = attempts.map(|attempt| attempt.request).collect();
        for request in requests {
            self.retry(request, actions);
        }
    }

    /// Ends the suspicion of a server, if it is suspected.
    fn readmit(&mut self, index: ServerIndex, actions: &mut Actions) {
        let now = self.fleet.now;
        let server = &mut self.fleet.servers[index];
        let Some(suspicion) = server.suspicion.on_readmitted() else {
            return;
        };
        server.failures.on_readmitted();
        match Readmission::decide(now, suspicion) {
            Readmission::FullCapacity => {}
            Readmission::SlowStart => server.slow_start.on_possible_restart(now),
        }
        server.health_check.on_confirmed_alive();
        record_server_event(ServerEvent::Readmitted, server.id(), actions);
    }
}

fn record_server_event(event: ServerEvent, server: ServerId, actions: &mut Actions) {
    actions.push(Action::Record(StateChange::Server { server, event }));
}
