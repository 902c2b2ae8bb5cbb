//! Load reports: which are believed, and which servers are asked for one before a request is sent.

use crate::balancer::Balancer;
use crate::policy::load_source::LoadSource;
use crate::state::ServerIndex;
use crate::{Actions, LoadReport, Micros, RequestId, ServerId};

/// Most servers asked for their load before a send; fewer while the chance to miss an idle one is low.
const MIN_LOAD_CHECKS: f64 = 2.0;
const MAX_LOAD_CHECKS: f64 = 8.0;
const IDLE_MISS_CHANCE: f64 = 0.05;
/// Share of the latency objective that load checks may take.
const LOAD_CHECK_WAIT_SHARE: f64 = 0.02;
/// A report may fall this far below the attempts that are known to be in flight.
const REPORT_TOLERANCE: f64 = 0.5;

impl Balancer {
    /// A load report came. Guards against reports that are frozen or wrong: one that falls below what was in
    /// flight when the health check started.
    pub(crate) fn on_load_report(&mut self, server_index: ServerIndex, report: Option<LoadReport>) {
        let from_responses = self.fleet.settings.load_source() == LoadSource::Responses;
        let server = &mut self.fleet.servers[server_index];
        let check_started_at = server.health_check.started_at();
        let in_flight = server.in_flight();
        let known = in_flight
            .iter()
            .filter(|attempt| Some(attempt.sent_at) < check_started_at)
            .count() as f64;
        let believable = |reported: &f64| from_responses || *reported + REPORT_TOLERANCE >= known;
        let valid =
            |reported: &f64| reported.is_finite() && *reported >= 0.0 && believable(reported);
        let Some(reported) = report.map(|report| report.in_flight).filter(valid) else {
            return;
        };
        server.on_load_report(reported, from_responses, self.fleet.now);
        self.fleet.estimators.utilization.on_load_report(reported);
    }

    /// Asks a few random servers for their load, which a balancer's own attempts tell little of where others
    /// send too.
    pub(crate) fn start_load_checks(&mut self, id: RequestId, actions: &mut Actions) {
        let fleet = &mut self.fleet;
        let mut candidates = self.policies.trusted_candidates(fleet, &mut self.rng);
        self.rng.shuffle(&mut candidates);
        let checks = IDLE_MISS_CHANCE.ln()
            / self
                .fleet
                .estimators
                .utilization
                .utilization()
                .clamp(0.01, 0.99)
                .ln();
        candidates.truncate(checks.clamp(MIN_LOAD_CHECKS, MAX_LOAD_CHECKS) as usize);
        let servers: Vec<ServerId> = candidates
            .iter()
            .map(|&index| self.fleet.servers[index].id())
            .collect();
        candidates
            .into_iter()
            .for_each(|server_index| self.check_load(server_index, actions));
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if servers.is_empty() {
            self.dispatch(id, actions);
            return;
        }
        // Guards against responses that are overdue because the client had less time than the checks take.
        let max_wait = (request.objective() as f64 * LOAD_CHECK_WAIT_SHARE) as Micros;
        request.on_load_checks_started(servers);
        self.set_request_timer(id, max_wait, actions);
    }

    /// A health check ended: requests that awaited nothing else are dispatched.
    pub(crate) fn on_load_check_ended(&mut self, server: ServerId, actions: &mut Actions) {
        for id in self.requests.on_load_check_ended(server) {
            self.dispatch(id, actions);
        }
    }
}
