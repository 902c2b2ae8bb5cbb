//! The auditor: checks the event log of either engine against the rules that every run must keep.
//!
//! It relies on what servers and clients observed, never on a sidecar's own state. Each rule has
//! its own module. `dispatch` reads the events, and this module applies the rules to them and
//! collects the violations.

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

use cold_server::{ReceivedWork, Servers};
use drain::DrainRule;
use endpoint_view::EndpointViews;
use requests::{AcceptedRequest, Requests};
use response::RequestEnd;
use violation::ViolationList;

pub use violation::{Rule, Violation};

/// Reads the event log and collects the violations.
pub struct Auditor {
    classes: Vec<Class>,
    /// Time after a request's deadline in which its response may still arrive.
    response_grace: Micros,
    drain: DrainRule,
    requests: Requests,
    servers: Servers,
    endpoint_views: EndpointViews,
    violations: ViolationList,
    /// Number of accepted requests that were read.
    requests_read: u64,
}

impl Auditor {
    /// Creates an auditor for a run of `scenario`. `allowance` is the engine's tolerance, which is
    /// added to the grace periods of responses and drains.
    pub fn new(scenario: &Scenario, allowance: Micros) -> Self {
        let rules = &scenario.rules;
        Self {
            classes: scenario.class.clone(),
            response_grace: from_ms(rules.response_grace_ms) + allowance,
            drain: DrainRule::new(from_ms(rules.drain_grace_ms) + allowance),
            requests: Requests::default(),
            servers: Servers::new(
                rules.cold_overload_factor,
                from_ms(rules.cold_overload_window_ms),
            ),
            endpoint_views: EndpointViews::default(),
            violations: ViolationList::default(),
            requests_read: 0,
        }
    }

    /// The first violations, in the order in which they were found.
    pub fn violations(&self) -> impl ExactSizeIterator<Item = &Violation> {
        self.violations.listed().iter()
    }

    /// Number of all violations.
    pub fn violation_count(&self) -> u64 {
        self.violations.count()
    }

    /// Number of accepted requests that were read.
    pub fn requests_read(&self) -> u64 {
        self.requests_read
    }

    /// Checks the requests that are still without a response. Call it at the end of the log.
    pub fn finish(&mut self) {
        self.advance(Micros::MAX);
    }

    /// Reports the requests whose response is overdue, and discards those whose retention time has
    /// passed.
    fn advance(&mut self, now: Micros) {
        while let Some((overdue_after, request)) = self.requests.next_overdue(now) {
            if self.requests.lacks_response(request) {
                let why = "no response in time".into();
                self.violations.add(
                    overdue_after,
                    Rule::SingleResponse,
                    Some(request),
                    None,
                    why,
                );
            }
        }
        self.requests.discard_expired(now);
    }

    fn on_request_accepted(&mut self, request: RequestNumber, accepted: AcceptedRequest) {
        self.requests_read += 1;
        let overdue_after = accepted.deadline() + self.response_grace;
        self.requests.insert(request, accepted, overdue_after);
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
            self.violations
                .add(at, rule, Some(request), Some(server), why);
        }
    }

    fn on_attempt_received(&mut self, at: Micros, request: RequestNumber, server: ServerIndex) {
        let Some(tracked) = self.requests.get_mut(request) else {
            return;
        };
        let Some(class) = self.classes.get(tracked.class().index()) else {
            return;
        };
        let duplicate = tracked.first_unrejected_attempt().and_then(|first| {
            let zone = |server| self.servers.zone(server);
            let same_zone = zone(server) == zone(first.server);
            execution::violation(class, first, at, same_zone)
        });
        let after_rejection = rejection::violation_on_attempt(class, tracked);
        tracked.on_attempt_received(at, server);
        for (rule, why) in [
            (Rule::NoDuplicateExecution, duplicate),
            (Rule::NoRejectionAfterExecution, after_rejection),
        ] {
            if let Some(why) = why {
                self.violations
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
            .servers
            .on_work_received(server, received, notified_start)
        {
            let rule = Rule::ColdServerNotOverloaded;
            self.violations
                .add(at, rule, Some(request), Some(server), why);
        }
    }

    fn on_response(&mut self, at: Micros, request: RequestNumber, outcome: RequestOutcome) {
        let exempt = self.requests.is_exempt(request);
        let response_grace = self.response_grace;
        let Some(tracked) = self.requests.get_mut(request) else {
            return;
        };
        let had_response = tracked.on_response(outcome);
        let end = RequestEnd {
            outcome,
            exempt,
            late: at > tracked.deadline() + response_grace,
        };
        let class = self.classes.get(tracked.class().index());
        let duplicate = had_response.then_some("a second final response");
        let response_violation = response::violation(&end);
        let rejection_violation = rejection::violation_on_response(class, tracked, outcome);
        for (rule, why) in [
            (Rule::SingleResponse, duplicate),
            (Rule::SingleResponse, response_violation),
            (Rule::NoRejectionAfterExecution, rejection_violation),
        ] {
            if let Some(why) = why {
                self.violations
                    .add(at, rule, Some(request), None, why.into());
            }
        }
    }
}
