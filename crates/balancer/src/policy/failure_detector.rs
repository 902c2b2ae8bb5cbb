//! Which servers are suspected, and when that ends.

use super::*;

/// Time without a sign of life after which a suspect is dead, and the least between two probes of it.
pub(crate) const DEAD_AFTER: Micros = 8_000_000;
pub(crate) const SUSPECT_CHECK_INTERVAL: Micros = 400_000;
/// Outstanding work raises a suspicion once its silence is as surprising as this, as the negative
/// logarithm of its probability on a sound server: one in a million, as answers of one server hang together.
const MAX_SILENCE_IMPROBABILITY: f64 = 14.0;
/// A suspicion raised by work outlives good probes for this long, doubled each time it returns.
const BASE_EJECTION_TIME: Micros = 500_000;
const MAX_EJECTION_TIME: Micros = 8_000_000;
/// After this long without a new suspicion, earlier ones are forgotten.
const EJECTION_MEMORY: Micros = 20_000_000;

impl Balancer {
    pub(super) fn check_suspicion(&mut self, i: usize, actions: &mut Actions) {
        let now = self.now;
        let server = &mut self.servers[i];
        if server.confirm_at.is_some_and(|at| now >= at) {
            server.confirm_at = None;
            if self.settings.has_peers() {
                let gossip = !server.confirmed_alive;
                if self.eject(i, SuspicionCause::HealthChecks, actions) && gossip {
                    self.queue_suspicion(i);
                }
            } else {
                server.confirmed_alive = false;
                self.start_health_check(i, actions);
            }
            return;
        }
        match server.suspicion {
            Some(suspicion) => {
                if !server.dead && now >= suspicion.since + DEAD_AFTER {
                    server.dead = true;
                    actions.push(Action::Log { text: "dead".into(), server: Some(server.endpoint.server) });
                }
                let lie = suspicion.cause != SuspicionCause::Attempts && self.health_checks_unreliable();
                if lie || !self.settings.health_checks && now >= suspicion.since + suspicion.ejection_time {
                    self.readmit(i, actions);
                }
            }
            None => {
                // Guards against servers that answer probes but not work: all that is out there is silent for
                // longer than the fleet's latencies explain. General slowness raises no suspicion.
                let silent =
                    |o: &InFlightAttempt| now.saturating_sub(o.sent.max(server.last_served_at)).max(1) as f64;
                let z = |o: &InFlightAttempt| {
                    (silent(o).ln() - self.log_latency_mean) / self.log_latency_variance.sqrt()
                };
                let sum: f64 = server.in_flight.iter().map(|o| tail_improbability(z(o))).sum();
                if sum > MAX_SILENCE_IMPROBABILITY {
                    self.eject(i, SuspicionCause::Attempts, actions);
                }
            }
        }
    }

    pub(super) fn eject(&mut self, i: usize, cause: SuspicionCause, actions: &mut Actions) -> bool {
        let lie = cause != SuspicionCause::Attempts && self.health_checks_unreliable();
        let turn = self.subset_size() as f64 / self.own_request_rate();
        let (now, server) = (self.now, &mut self.servers[i]);
        if server.suspicion.is_some() || lie {
            return false;
        }
        server.ejections =
            if now > server.last_ejected_at + EJECTION_MEMORY { 0 } else { server.ejections + 1 };
        server.last_ejected_at = now;
        // A balancer so quiet that the server's turn comes later than the hold would learn nothing from it.
        let ejection_time =
            ((BASE_EJECTION_TIME << server.ejections.min(8)).max(turn as Micros)).min(MAX_EJECTION_TIME);
        server.suspicion = Some(Suspicion { cause, since: now, ejection_time });
        actions.push(Action::Log { text: cause.text().into(), server: Some(server.endpoint.server) });
        // What is out there may be rescued elsewhere, where that is legal.
        let stuck: Vec<RequestId> = server.in_flight.iter().map(|o| o.request).collect();
        for request in stuck {
            self.retry(request, actions);
        }
        true
    }

    pub(super) fn readmit(&mut self, i: usize, actions: &mut Actions) {
        let (now, server) = (self.now, &mut self.servers[i]);
        let Some(suspicion) = server.suspicion.take() else { return };
        server.consecutive_failures = 0;
        // Guards against restarts that the list is silent about: what comes back from silence is cold.
        if suspicion.cause != SuspicionCause::Attempts && now > suspicion.since + 2 * SUSPECT_CHECK_INTERVAL {
            server.cold_since = Some(now);
        }
        server.dead = false;
        server.confirmed_alive = true;
        actions.push(Action::Log { text: "cleared".into(), server: Some(server.endpoint.server) });
    }

    /// A newer start time: alive for it overrides suspicion of anything older.
    pub(super) fn on_restart(&mut self, i: usize, actions: &mut Actions) {
        let now = self.now;
        let server = &mut self.servers[i];
        let launched = server.endpoint.incarnation.unwrap_or(0);
        let flapping = server.ejections > 0 && now < server.last_ejected_at + EJECTION_MEMORY;
        (server.drained, server.in_flight_elsewhere, server.reported_in_flight, server.own_in_flight) =
            (false, 0.0, 0.0, 0.0);
        if now < launched + self.settings.slow_start_time {
            server.cold_since = Some(launched.min(now));
        }
        // A server that keeps restarting does not earn trust by its new start time alone.
        if !flapping {
            self.readmit(i, actions);
        }
    }
}
