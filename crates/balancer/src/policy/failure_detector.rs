//! Which servers are suspected, and when that ends.

use crate::policy::Balancer;
use crate::policy::health_check_trust::HealthCheckTrust;
use crate::state::{ServerIndex, Suspicion};
use crate::{Action, Actions, EjectionCause, Micros, RequestId, ServerEvent, StateChange};

/// Time without a sign of life after which a suspect is dead, and the least between two health checks of it.
const DEAD_AFTER: Micros = 8_000_000;
pub(super) const SUSPECT_CHECK_INTERVAL: Micros = 400_000;
/// Attempts in flight raise a suspicion once their silence is as improbable as this, as the negative
/// logarithm of its probability on a sound server: one in a million, as one server's responses hang together.
const MAX_SILENCE_IMPROBABILITY: f64 = 14.0;
/// A suspicion that attempts raised outlives good health checks for this long, doubled each time it returns.
const BASE_EJECTION_TIME: Micros = 500_000;
const MAX_EJECTION_TIME: Micros = 8_000_000;
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// After this long without a new suspicion, earlier ones are forgotten.
const EJECTION_MEMORY: Micros = 20_000_000;

impl Balancer {
    /// Confirms a failed health check, ends or hardens a suspicion, or raises one over silent attempts.
    pub(super) fn check_suspicion(&mut self, server_index: ServerIndex, actions: &mut Actions) {
        let server = &mut self.fleet.servers[server_index];
        if server.health_check.take_due_confirmation(self.fleet.now) {
            self.confirm_failed_health_check(server_index, actions);
        } else if let Some(suspicion) = server.suspicion.current() {
            self.review_suspicion(server_index, suspicion, actions);
        } else if self.is_improbably_silent(server_index) {
            self.eject(server_index, EjectionCause::Attempts, actions);
        }
    }

    /// Guards against servers that answer health checks but not attempts: all attempts there are silent for
    /// longer than the fleet's latencies explain. General slowness raises no suspicion.
    fn is_improbably_silent(&self, server_index: ServerIndex) -> bool {
        let server = &self.fleet.servers[server_index];
        let improbability = self
            .fleet
            .estimators
            .latency_distribution
            .silence_improbability(server, self.fleet.now);
        improbability > MAX_SILENCE_IMPROBABILITY
    }

    fn confirm_failed_health_check(&mut self, server_index: ServerIndex, actions: &mut Actions) {
        let health_check = &mut self.fleet.servers[server_index].health_check;
        if !self.fleet.settings.has_peers() {
            health_check.on_failed();
            self.start_health_check(server_index, actions);
            return;
        }
        let unreached = !health_check.is_confirmed_alive();
        if self.eject(server_index, EjectionCause::HealthChecks, actions) && unreached {
            self.queue_suspicion(server_index);
        }
    }

    fn review_suspicion(
        &mut self,
        server_index: ServerIndex,
        suspicion: Suspicion,
        actions: &mut Actions,
    ) {
        let server = &mut self.fleet.servers[server_index];
        if !server.suspicion.is_dead() && self.fleet.now >= suspicion.since + DEAD_AFTER {
            server.suspicion.on_declared_dead();
            actions.push(Action::Record(StateChange::Server {
                server: server.id(),
                event: ServerEvent::DeclaredDead,
            }));
        }
        let unfounded = suspicion.cause != EjectionCause::Attempts
            && self.fleet.health_check_trust() == HealthCheckTrust::Untrusted;
        if unfounded
            || !self.fleet.settings.host.health_checks && suspicion.has_aged(self.fleet.now)
        {
            self.readmit(server_index, actions);
        }
    }

    /// Suspects a server and retries its attempts elsewhere; false where it is suspected already, or the
    /// cause cannot be believed.
    pub(super) fn eject(
        &mut self,
        server_index: ServerIndex,
        cause: EjectionCause,
        actions: &mut Actions,
    ) -> bool {
        let unfounded = cause != EjectionCause::Attempts
            && self.fleet.health_check_trust() == HealthCheckTrust::Untrusted;
        let mean_pause = self.fleet.subset_size() as f64 / self.fleet.request_rate();
        let (now, server) = (self.fleet.now, &mut self.fleet.servers[server_index]);
        if server.suspicion.is_suspected() || unfounded {
            return false;
        }
        let ejections = server.suspicion.ejections_before(now, EJECTION_MEMORY);
        // A balancer so quiet that it sends to the server more seldom would learn nothing from the ejection.
        let doubled = BASE_EJECTION_TIME << ejections.min(MAX_EJECTION_DOUBLINGS);
        let ejection_time = doubled.max(mean_pause as Micros).min(MAX_EJECTION_TIME);
        server.suspicion.on_ejected(
            Suspicion {
                cause,
                since: now,
                ejection_time,
            },
            ejections,
        );
        actions.push(Action::Record(StateChange::Server {
            server: server.id(),
            event: ServerEvent::Ejected { cause },
        }));
        let stuck: Vec<RequestId> = server
            .in_flight()
            .iter()
            .map(|attempt| attempt.request)
            .collect();
        for request in stuck {
            self.retry(request, actions);
        }
        true
    }

    /// Ends the suspicion of a server, if any.
    pub(super) fn readmit(&mut self, server_index: ServerIndex, actions: &mut Actions) {
        let (now, server) = (self.fleet.now, &mut self.fleet.servers[server_index]);
        let Some(suspicion) = server.suspicion.on_readmitted() else {
            return;
        };
        server.failures.on_readmitted();
        // Guards against restarts that the list is silent about: what comes back from silence starts slowly.
        if suspicion.cause != EjectionCause::Attempts
            && now > suspicion.since + 2 * SUSPECT_CHECK_INTERVAL
        {
            server.slow_start.on_silence_ended(now);
        }
        server.health_check.on_confirmed_alive();
        actions.push(Action::Record(StateChange::Server {
            server: server.id(),
            event: ServerEvent::Readmitted,
        }));
    }

    /// The list names a newer incarnation: that it is alive overrides suspicion of anything older.
    pub(super) fn on_restart(&mut self, server_index: ServerIndex, actions: &mut Actions) {
        let server = &mut self.fleet.servers[server_index];
        server.on_restarted(self.fleet.now, self.fleet.settings.slow_start.duration);
        // A server that keeps restarting does not earn trust by its new incarnation alone.
        if !server
            .suspicion
            .is_flapping(self.fleet.now, EJECTION_MEMORY)
        {
            self.readmit(server_index, actions);
        }
    }
}
