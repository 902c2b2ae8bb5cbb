//! The auditor: checks the event log of either engine against the rules that every run must keep.
//!
//! It judges by what servers and clients saw, never by what a sidecar believes. Each rule has a
//! file of its own; this one asks them and keeps what they find, `dispatch` reads the events.

mod cold_server;
mod dispatch;
mod drain;
mod endpoint_view;
mod execution;
mod rejection;
mod requests;
mod response;
mod violation;

use crate::event_log::RequestOutcome;
use crate::index::{RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::{Class, Micros, Scenario, from_ms};

use cold_server::{ColdServers, ReceivedWork};
use drain::DrainRule;
use endpoint_view::EndpointViews;
use requests::{AcceptedRequest, Requests};
use response::RequestEnd;
use violation::Findings;

pub use violation::{Rule, Violation};

/// Reads the event log and keeps the violations.
pub struct Auditor {
    classes: Vec<Class>,
    /// How long after its deadline a response may arrive.
    response_grace: Micros,
    drain: DrainRule,
    requests: Requests,
    cold_servers: ColdServers,
    endpoint_views: EndpointViews,
    findings: Findings,
    /// Requests accepted by sidecars.
    requests_read: u64,
}

impl Auditor {
    /// For a run of `scenario`; `extra` is what the engine allows on top of every time limit.
    pub fn new(scenario: &Scenario, extra: Micros) -> Self {
        let rules = &scenario.rules;
        Self {
            classes: scenario.class.clone(),
            response_grace: from_ms(rules.response_grace_ms) + extra,
            drain: DrainRule::new(from_ms(rules.drain_grace_ms) + extra),
            requests: Requests::default(),
            cold_servers: ColdServers::new(
                rules.cold_overload_factor,
                from_ms(rules.cold_overload_window_ms),
            ),
            endpoint_views: EndpointViews::default(),
            findings: Findings::default(),
            requests_read: 0,
        }
    }

    /// The first violations, in the order in which they were found.
    pub fn violations(&self) -> impl ExactSizeIterator<Item = &Violation> {
        self.findings.listed().iter()
    }

    /// Number of all violations.
    pub fn violation_count(&self) -> u64 {
        self.findings.count()
    }

    /// Number of accepted requests that were read.
    pub fn requests_read(&self) -> u64 {
        self.requests_read
    }

    /// Checks what never had a response. To be called once the log has ended.
    pub fn finish(&mut self) {
        self.advance(Micros::MAX);
    }

    /// Reports the requests whose time has passed, and forgets those that nothing can follow any
    /// more.
    fn advance(&mut self, now: Micros) {
        while let Some((due, request)) = self.requests.next_overdue(now) {
            if self.requests.lacks_response(request) {
                let why = "no response in time".into();
                self.findings
                    .add(due, Rule::SingleResponse, Some(request), None, why);
            }
        }
        self.requests.forget_before(now);
    }

    fn on_request_accepted(&mut self, request: RequestNumber, accepted: AcceptedRequest) {
        self.requests_read += 1;
        let response_limit = accepted.due() + self.response_grace;
        self.requests.insert(request, accepted, response_limit);
    }

    fn on_attempt_started(
        &mut self,
        at: Micros,
        request: RequestNumber,
        sidecar: SidecarIndex,
        server: ServerIndex,
    ) {
        let notified_at = self.endpoint_views.unavailable_since(sidecar, server);
        if let Some(why) = self.drain.violation(at, notified_at) {
            let rule = Rule::NoAttemptAfterDrain;
            self.findings
                .add(at, rule, Some(request), Some(server), why);
        }
    }

    fn on_attempt_received(&mut self, at: Micros, request: RequestNumber, server: ServerIndex) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let Some(class) = self.classes.get(open.class().index()) else {
            return;
        };
        let duplicate = open.first_unrejected_attempt().and_then(|first| {
            let zone = |server| self.cold_servers.zone(server);
            let same_zone = zone(server) == zone(first.server);
            execution::violation(class, first, at, same_zone)
        });
        let after_rejection = rejection::violation_on_attempt(class, open);
        open.on_attempt_received(at, server);
        for (rule, why) in [
            (Rule::NoDuplicateExecution, duplicate),
            (Rule::NoRejectionAfterExecution, after_rejection),
        ] {
            if let Some(why) = why {
                self.findings
                    .add(at, rule, Some(request), Some(server), why);
            }
        }
    }

    fn on_work_received(
        &mut self,
        request: RequestNumber,
        server: ServerIndex,
        received: ReceivedWork,
    ) {
        let sidecar = self.requests.get(request).map(AcceptedRequest::sidecar);
        let notified_start =
            sidecar.and_then(|sidecar| self.endpoint_views.notified_start(sidecar, server));
        let at = received.at;
        if let Some(why) = self
            .cold_servers
            .on_work_received(server, received, notified_start)
        {
            let rule = Rule::ColdServerNotOverloaded;
            self.findings
                .add(at, rule, Some(request), Some(server), why);
        }
    }

    fn on_response(&mut self, at: Micros, request: RequestNumber, outcome: RequestOutcome) {
        let excused = self.requests.is_excused(request);
        let response_grace = self.response_grace;
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let second = open.on_response(outcome);
        let end = RequestEnd {
            outcome,
            excused,
            late: at > open.due() + response_grace,
        };
        let class = self.classes.get(open.class().index());
        let duplicate = second.then_some("a second final response");
        let fault = response::violation(&end);
        let dishonest = rejection::violation_on_response(class, open, outcome);
        for (rule, why) in [
            (Rule::SingleResponse, duplicate),
            (Rule::SingleResponse, fault),
            (Rule::NoRejectionAfterExecution, dishonest),
        ] {
            if let Some(why) = why {
                self.findings.add(at, rule, Some(request), None, why.into());
            }
        }
    }
}
