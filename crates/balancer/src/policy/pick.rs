//! Which server a request goes to.

use crate::balancer::Balancer;
use crate::policy::health_check_trust::HealthCheckTrust;
use crate::policy::load_source::LoadSource;
use crate::state::{RequestState, RetryScope, ServerIndex};
use crate::weighted_choice::weighted_choice;
use crate::{RequestId, ServerId};

/// A server whose load is within this of the least loaded one's counts as equally loaded.
const LOAD_TOLERANCE: f64 = 0.25;
/// Exponent of a server's success rate in its chance to be drawn: a failure costs the whole request, so a
/// server that fails gets less than what is left of it.
const SUCCESS_EXPONENT: i32 = 3;

impl Balancer {
    /// The least loaded of the servers whose load was checked for a request; `None` where none was checked.
    pub(crate) fn load_checked_servers(&self, request: &RequestState) -> Option<Vec<ServerIndex>> {
        let since = request.arrived_at();
        let reported = |&index: &ServerIndex| {
            let server = &self.fleet.servers[index];
            server.load.updated_at() >= since
                && !server.suspicion.is_suspected()
                && self.fleet.is_ready(server)
        };
        let checked = request.load_checked();
        let known = checked.iter().filter_map(|&id| self.fleet.servers.find(id));
        let mut servers: Vec<ServerIndex> = known.filter(reported).collect();
        let estimates = self.fleet.estimates();
        let load = |index: ServerIndex| estimates.load(&self.fleet.servers[index]);
        let least = servers
            .iter()
            .map(|&index| load(index))
            .fold(f64::MAX, f64::min);
        // Where health checks are unreliable, a server that reports to be idle is believed, but no other is
        // preferred for its silence.
        let unreliable = self.fleet.health_check_trust() == HealthCheckTrust::Untrusted;
        let max_load = if unreliable {
            1.0 + self.fleet.estimators.utilization.utilization()
        } else {
            f64::MAX
        };
        servers.retain(|&index| load(index) < max_load.min(least + LOAD_TOLERANCE));
        (!checked.is_empty()).then_some(servers)
    }

    /// Draws two random servers and picks the one with the lower load, among those whose load was checked if
    /// there are any, else among all candidates.
    pub(crate) fn pick(
        &mut self,
        id: RequestId,
        scope: RetryScope,
        tried: &[ServerId],
        load_checked: Option<Vec<ServerIndex>>,
    ) -> Option<ServerIndex> {
        let any_checked = load_checked.is_some();
        let mut candidates = load_checked.unwrap_or_default();
        if candidates.is_empty() {
            let fleet = &mut self.fleet;
            candidates = self.policies.candidates(fleet, scope, tried, &mut self.rng);
        }
        let candidates = self.prefer_in_time(id, candidates);
        let (first, second) = (self.draw(&candidates)?, self.draw(&candidates)?);
        // A server in slow start looks idle to all at once: it is taken where drawn first, never for its low
        // load.
        let is_cold = |index: ServerIndex| self.fleet.servers[index].slow_start.is_active();
        let keep_first = !any_checked && (is_cold(first) || is_cold(second));
        let second_is_less_loaded =
            !keep_first && self.compared_load(second) < self.compared_load(first);
        Some(if second_is_less_loaded { second } else { first })
    }

    /// Guards against a rejection by two full servers while others have capacity.
    fn prefer_in_time(&self, id: RequestId, candidates: Vec<ServerIndex>) -> Vec<ServerIndex> {
        let in_time = |index: &ServerIndex| !self.expects_miss(*index, id);
        let preferred: Vec<ServerIndex> = candidates.iter().copied().filter(in_time).collect();
        if preferred.is_empty() {
            candidates
        } else {
            preferred
        }
    }

    /// One of the servers; without load checks, each as often as its machine can do more than others.
    fn draw(&mut self, candidates: &[ServerIndex]) -> Option<ServerIndex> {
        if self.fleet.settings.load_source() == LoadSource::LoadChecks {
            return self.rng.choice(candidates).copied();
        }
        let estimates = self.fleet.estimates();
        let weight = |&index: &ServerIndex| {
            let server = &self.fleet.servers[index];
            let success_rate = 1.0 - server.failures.failure_rate();
            let capacity =
                server.endpoint().machine_type.cores * success_rate.powi(SUCCESS_EXPONENT);
            capacity / estimates.latency_factor(server)
        };
        let weights: Vec<f64> = candidates.iter().map(weight).collect();
        weighted_choice(&weights, &mut self.rng).map(|position| candidates[position])
    }

    /// What two drawn servers are compared by: where nothing reports load, the attempts in flight against
    /// what the machine can do, as its share of the draws stands for the rest already.
    fn compared_load(&self, server_index: ServerIndex) -> f64 {
        let (server, estimates) = (&self.fleet.servers[server_index], self.fleet.estimates());
        let load = estimates.load(server);
        if self.fleet.settings.load_source() != LoadSource::Unknown {
            return load;
        }
        (load - estimates.relative_service_time(server)) / server.endpoint().machine_type.cores
    }
}
