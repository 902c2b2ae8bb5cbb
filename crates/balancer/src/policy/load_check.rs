//! Asking for load before a send.

use super::*;

/// Most servers asked for their load before a send; fewer while the chance to miss an idle one is low.
const MAX_LOAD_CHECKS: f64 = 8.0;
const IDLE_MISS_CHANCE: f64 = 0.05;
/// Highest fee for one probe per request at which servers are asked before each send.
const MAX_LOAD_CHECK_FEE: f64 = 0.005;
/// Share of the objective that may pass in asking.
const LOAD_CHECK_WAIT_SHARE: f64 = 0.02;

impl Balancer {
    pub(crate) fn load_reports_trusted(&self) -> bool {
        self.load_checks_enabled() && !self.health_checks_unreliable()
    }

    /// True where a request may ask for load before it is sent. Guards against trust in reports that nobody
    /// fetches: where probes are dear, what is known of queues is seconds old, and answers have to tell.
    pub(crate) fn load_checks_enabled(&self) -> bool {
        self.settings.load_reports
            && self.settings.health_checks
            && self.settings.health_check_fee <= MAX_LOAD_CHECK_FEE
    }

    /// Asks a few random servers for their load, which own requests tell little of where others send too.
    pub(super) fn start_load_checks(&mut self, id: RequestId, actions: &mut Actions) {
        let mut open = self.candidates(RetryScope::Anywhere, &[], true);
        self.rng.shuffle(&mut open);
        let looks = IDLE_MISS_CHANCE.ln() / self.utilization.clamp(0.01, 0.99).ln();
        open.truncate(looks.clamp(2.0, MAX_LOAD_CHECKS) as usize);
        let names: Vec<ServerId> = open.iter().map(|&i| self.servers[i].endpoint.server).collect();
        open.into_iter().for_each(|i| self.check_load(i, actions));
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.load_checked = names.clone();
        request.awaited_load_checks = names;
        // Guards against answers that are overdue because the client had less time than the asking takes.
        let wait = ((request.objective_at - request.arrived) as f64 * LOAD_CHECK_WAIT_SHARE) as Micros;
        if request.awaited_load_checks.is_empty() {
            self.dispatch(id, actions);
        } else {
            self.set_request_timer(id, wait, actions);
        }
    }

    pub(super) fn on_load_check_ended(&mut self, server: ServerId, actions: &mut Actions) {
        let waiting = self.requests.iter_mut().filter(|(_, r)| r.awaited_load_checks.contains(&server));
        let mut done = Vec::new();
        for (&id, request) in waiting {
            request.awaited_load_checks.retain(|&s| s != server);
            if request.awaited_load_checks.is_empty() {
                done.push(id);
            }
        }
        done.into_iter().for_each(|id| self.dispatch(id, actions));
    }
}
