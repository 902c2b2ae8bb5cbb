//! Which server is checked, when, and what the result tells.

use crate::policy::Balancer;
use crate::policy::failure_detector::SUSPECT_CHECK_INTERVAL;
use crate::policy::subsetter::CandidateFilter;
use crate::state::{RetryScope, ServerIndex};
use crate::{Action, Actions, EjectionCause, LoadReport, Micros, ServerId};

/// Time between health checks of random servers: what keeps their fee under the last figure at the request
/// rate, within these two; while a server is suspected they come so many times as often, every other one for
/// a suspect.
const MIN_HEALTH_CHECK_INTERVAL: Micros = 1_000_000;
const MAX_HEALTH_CHECK_INTERVAL: Micros = 5_000_000;
const SUSPECTED_SPEEDUP: Micros = 4;
const MAX_HEALTH_CHECK_COST: f64 = 0.001;
/// Pause before a failed health check is confirmed, by a second one or by what other balancers say.
const CONFIRMATION_DELAY: Micros = 150_000;

impl Balancer {
    /// The first health check comes at a random time within one interval.
    pub(super) fn schedule_first_health_check(&mut self, now: Micros) {
        self.health_checks
            .on_started(now + self.rng.u64(0..MIN_HEALTH_CHECK_INTERVAL));
    }

    /// Checks the server whose turn it is, and sends gossip along.
    pub(super) fn run_scheduled_health_check(&mut self, actions: &mut Actions) {
        let interval = self.health_check_interval();
        self.health_checks.on_check_due(self.fleet.now, interval);
        if let Some(server_index) = self.next_server_to_check() {
            self.start_health_check(server_index, actions);
            self.fleet.servers[server_index]
                .health_check
                .on_full_check_requested();
        }
        self.send_gossip(actions);
    }

    /// Guards against health checks that together cost more than they tell: one schedule serves all servers.
    fn health_check_interval(&self) -> Micros {
        let cost_per_interval = MAX_HEALTH_CHECK_COST * self.fleet.request_rate();
        let affordable = (self.fleet.settings.fees.health_check / cost_per_interval) as Micros;
        let interval = affordable.clamp(MIN_HEALTH_CHECK_INTERVAL, MAX_HEALTH_CHECK_INTERVAL);
        let suspected = self
            .fleet
            .servers
            .iter()
            .any(|server| server.suspicion.is_suspected());
        if suspected {
            interval / SUSPECTED_SPEEDUP
        } else {
            interval
        }
    }

    /// By turns the suspect that waits longest and a server that failed, else a random ready one.
    fn next_server_to_check(&mut self) -> Option<ServerIndex> {
        let last_started_at =
            |index: &ServerIndex| self.fleet.servers[*index].health_check.last_started_at();
        let is_suspected =
            |index: &ServerIndex| self.fleet.servers[*index].suspicion.is_suspected();
        let is_due =
            |index: &ServerIndex| self.fleet.now >= last_started_at(index) + SUSPECT_CHECK_INTERVAL;
        let suspects = self
            .fleet
            .servers
            .indices()
            .filter(|index| is_suspected(index) && is_due(index));
        let suspect = suspects.min_by_key(last_started_at);
        // Guards against suspects that wait for ever where attempts fail all the time.
        if self.health_checks.take_suspect_turn() && suspect.is_some() {
            return suspect;
        }
        if let Some(server_index) = self
            .health_checks
            .pop()
            .and_then(|id| self.fleet.servers.find(id))
        {
            return Some(server_index);
        }
        let candidates = self.candidates(RetryScope::Anywhere, &[], CandidateFilter::TrustedOnly);
        self.rng.choice(candidates)
    }

    /// Makes a server the next to be checked, and soon.
    pub(super) fn check_soon(&mut self, id: ServerId) {
        self.health_checks.push(
            id,
            MIN_HEALTH_CHECK_INTERVAL / SUSPECTED_SPEEDUP,
            self.fleet.now,
        );
    }

    /// Checks a server, unless a health check of it is in progress.
    pub(super) fn start_health_check(&mut self, server_index: ServerIndex, actions: &mut Actions) {
        let server = &mut self.fleet.servers[server_index];
        if self.fleet.settings.host.health_checks && server.health_check.started_at().is_none() {
            server.health_check.on_started(self.fleet.now);
            actions.push(Action::HealthCheck {
                server: server.id(),
            });
        }
    }

    /// Checks a server out of turn. Guards against floods: a failure is not confirmed, but waits its turn.
    pub(super) fn check_load(&mut self, server_index: ServerIndex, actions: &mut Actions) {
        self.fleet.servers[server_index]
            .health_check
            .on_load_check_requested();
        self.start_health_check(server_index, actions);
    }

    /// A health check ended.
    pub(super) fn on_health_check_ended(
        &mut self,
        id: ServerId,
        succeeded: bool,
        report: Option<LoadReport>,
        actions: &mut Actions,
    ) {
        let Some(server_index) = self.fleet.servers.find(id) else {
            return;
        };
        self.on_load_report(server_index, report);
        let load_only = self
            .fleet
            .servers
            .on_health_check_ended(server_index, succeeded);
        self.answer_requesters(server_index, succeeded, actions);
        if succeeded {
            self.on_health_check_succeeded(server_index, actions);
        } else if load_only {
            self.check_soon(id);
        } else {
            self.on_health_check_failed(server_index, actions);
        }
        self.on_load_check_ended(id, actions);
    }

    /// A success proves little where attempts raised the suspicion: that must age first.
    fn on_health_check_succeeded(&mut self, server_index: ServerIndex, actions: &mut Actions) {
        let server = &mut self.fleet.servers[server_index];
        server.health_check.on_succeeded();
        let Some(suspicion) = server.suspicion.current() else {
            return;
        };
        if suspicion.cause != EjectionCause::Attempts || suspicion.has_aged(self.fleet.now) {
            self.readmit(server_index, actions);
        }
    }

    /// A first failure is to be confirmed, by a second health check or by other balancers.
    fn on_health_check_failed(&mut self, server_index: ServerIndex, actions: &mut Actions) {
        let server = &mut self.fleet.servers[server_index];
        if server.suspicion.is_suspected() || server.health_check.is_confirming() {
            return;
        }
        let first = server.health_check.on_failed();
        if self.fleet.settings.has_peers() || first {
            server
                .health_check
                .on_confirmation_scheduled(self.fleet.now + CONFIRMATION_DELAY);
            self.request_indirect_checks(server_index, actions);
        } else {
            self.eject(server_index, EjectionCause::HealthChecks, actions);
        }
    }
}
