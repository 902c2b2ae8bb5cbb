//! Carries out what is decided about servers by the ends of attempts and health checks.

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
    /// An attempt ended: what it tells of its server.
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

    /// A server responded to an attempt, or timed out although it serves others.
    fn on_response(&mut self, index: ServerIndex, attempt: &InFlightAttempt) {
        let now = self.fleet.now;
        let latency = now.saturating_sub(attempt.sent_at) as f64;
        if let Some(request) = self.requests.get(attempt.request) {
            let objective_share = (latency / request.objective() as f64).min(1.0);
            self.policies.load_shedder.on_response(objective_share, now);
        }
        let server = &mut self.fleet.servers[index];
        let settings = &self.fleet.settings;
        self.fleet
            .estimators
            .on_response(server, attempt, latency, now, settings);
        self.policies.failure_detector.on_response(latency);
    }

    /// A server rejected an attempt. It is not broken, but holds more than was known, or drains.
    fn on_attempt_rejected(&mut self, index: ServerIndex, attempt: &InFlightAttempt) {
        let now = self.fleet.now;
        let polling = &self.fleet.settings.polling;
        let may_drain = self.policies.endpoint_poller.may_miss_drains(polling);
        let server = &mut self.fleet.servers[index];
        server.on_rejected(attempt.queue_depth, now);
        if may_drain {
            server.on_possible_drain();
        }
        self.policies.load_shedder.on_rejected(now);
    }

    fn on_attempt_failed(&mut self, index: ServerIndex, outcome: Outcome, actions: &mut Actions) {
        let failures = self.fleet.servers[index].failures.on_failed();
        self.check_soon(index);
        let detector = &mut self.policies.failure_detector;
        let verdict = detector.on_attempt_failed(failures, outcome);
        self.apply(verdict, index, actions);
    }

    /// A server reported its load, with a response or with a health check.
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

    /// A health check ended.
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
        self.answer_requesters(index, outcome, actions);
        let server = &mut self.fleet.servers[index];
        let verdict = if outcome == Outcome::Served {
            server.health_check.on_succeeded();
            FailureDetector::evaluate_successful_check(self.fleet.now, server)
        } else if kind == HealthCheckKind::LoadOnly {
            HealthAction::CheckSoon
        } else {
            FailureDetector::evaluate_failed_check(&self.fleet, &self.fleet.servers[index])
        };
        self.apply(verdict, index, actions);
        self.on_load_check_ended(id, actions);
    }

    /// Tells the balancers that asked for a check of the server of its success; they wait no longer
    /// in any case.
    fn answer_requesters(&mut self, index: ServerIndex, outcome: Outcome, actions: &mut Actions) {
        let server = &mut self.fleet.servers[index];
        let requesters = server.health_check.take_requesters();
        if outcome == Outcome::Served {
            let answers = GossipProtocol::confirm_alive(server, requesters);
            actions.extend(answers.map(Action::from));
        }
    }

    /// Looks at a server with each tick.
    pub(super) fn review_server(&mut self, index: ServerIndex, actions: &mut Actions) {
        let detector = &self.policies.failure_detector;
        let verdict = detector.evaluate_server(&self.fleet, &self.fleet.servers[index]);
        let now = self.fleet.now;
        self.fleet.servers[index]
            .health_check
            .end_due_confirmation(now);
        self.apply(verdict, index, actions);
        if verdict == HealthAction::DeclareDead {
            // The same tick may end the suspicion.
            let detector = &self.policies.failure_detector;
            let next = detector.evaluate_server(&self.fleet, &self.fleet.servers[index]);
            self.apply(next, index, actions);
        }
    }

    /// Carries out a verdict of the failure detector.
    pub(super) fn apply(
        &mut self,
        verdict: HealthAction,
        index: ServerIndex,
        actions: &mut Actions,
    ) {
        match verdict {
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
            HealthAction::CheckSoon => self.check_soon(index),
            HealthAction::Eject { cause, scope } => self.eject(index, cause, scope, actions),
            HealthAction::DeclareDead => {
                let server = &mut self.fleet.servers[index];
                server.suspicion.on_declared_dead();
                record(ServerEvent::DeclaredDead, server.id(), actions);
            }
            HealthAction::Readmit => self.readmit(index, actions),
        }
    }

    /// Makes a server the next to be checked, and soon.
    pub(super) fn check_soon(&mut self, index: ServerIndex) {
        let id = self.fleet.servers[index].id();
        self.policies.health_checker.check_soon(id, self.fleet.now);
    }

    /// Suspects a server, unless the cause is not believed, and retries its attempts elsewhere.
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
        record(ServerEvent::Ejected { cause }, server.id(), actions);
        self.retry_in_flight(index, actions);
        if scope == SuspicionScope::AllBalancers {
            let server = &self.fleet.servers[index];
            self.policies
                .gossip
                .queue_suspicion(&self.fleet.settings, server);
        }
    }

    /// Sends the requests again that have an attempt in flight at a server.
    fn retry_in_flight(&mut self, index: ServerIndex, actions: &mut Actions) {
        let attempts = self.fleet.servers[index].in_flight().iter();
        let requests: Vec<RequestId> = attempts.map(|attempt| attempt.request).collect();
        for request in requests {
            self.retry(request, actions);
        }
    }

    /// Ends the suspicion of a server, if any.
    fn readmit(&mut self, index: ServerIndex, actions: &mut Actions) {
        let now = self.fleet.now;
        let server = &mut self.fleet.servers[index];
        let Some(suspicion) = server.suspicion.on_readmitted() else {
            return;
        };
        server.failures.on_readmitted();
        match Readmission::decide(now, suspicion) {
            Readmission::FullCapacity => {}
            Readmission::SlowStart => server.slow_start.on_silence_ended(now),
        }
        server.health_check.on_confirmed_alive();
        record(ServerEvent::Readmitted, server.id(), actions);
    }
}

fn record(event: ServerEvent, server: ServerId, actions: &mut Actions) {
    actions.push(Action::Record(StateChange::Server { server, event }));
}
