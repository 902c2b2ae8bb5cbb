//! Which servers are suspected, and when that ends.

use super::*;

/// Outstanding work raises a suspicion once its silence is as surprising as this, as the negative
/// logarithm of its probability on a sound server: one in a million, as answers of one server hang together.
const SURPRISE: f64 = 14.0;
/// A suspicion raised by work outlives good probes for this long, doubled each time it returns.
const WORK_HOLD: Micros = 500_000;
const WORK_HOLD_MOST: Micros = 8_000_000;
/// After this long without a new suspicion, earlier ones are forgotten.
const FORGET: Micros = 20_000_000;

impl Balancer {
    pub(super) fn watch(&mut self, i: usize, acts: &mut Actions) {
        let now = self.now;
        let server = &mut self.servers[i];
        if server.confirm.is_some_and(|at| now >= at) {
            server.confirm = None;
            if self.settings.has_peers() {
                let gossip = !server.reached;
                if self.suspect(i, Cause::Probe, acts) && gossip {
                    self.spread(i);
                }
            } else {
                server.reached = false;
                self.probe(i, acts);
            }
            return;
        }
        match server.suspicion {
            Some(suspicion) => {
                if !server.dead && now >= suspicion.since + DEAD_AFTER {
                    server.dead = true;
                    acts.push(Action::Log { text: "dead".into(), server: Some(server.member.server) });
                }
                let lie = suspicion.cause != Cause::Work && self.probes_lie();
                if lie || !self.settings.health_checks && now >= suspicion.since + suspicion.hold {
                    self.clear(i, acts);
                }
            }
            None => {
                // Guards against servers that answer probes but not work: all that is out there is silent for
                // longer than the fleet's latencies explain. General slowness raises no suspicion.
                let silent = |o: &Outstanding| now.saturating_sub(o.sent.max(server.served)).max(1) as f64;
                let z = |o: &Outstanding| (silent(o).ln() - self.log_mean) / self.log_var.sqrt();
                let sum: f64 = server.own.iter().map(|o| surprise(z(o))).sum();
                if sum > SURPRISE {
                    self.suspect(i, Cause::Work, acts);
                }
            }
        }
    }

    pub(super) fn suspect(&mut self, i: usize, cause: Cause, acts: &mut Actions) -> bool {
        let lie = cause != Cause::Work && self.probes_lie();
        let turn = self.subset() as f64 / self.rate();
        let (now, server) = (self.now, &mut self.servers[i]);
        if server.suspicion.is_some() || lie {
            return false;
        }
        server.strikes = if now > server.struck + FORGET { 0 } else { server.strikes + 1 };
        server.struck = now;
        // A balancer so quiet that the server's turn comes later than the hold would learn nothing from it.
        let hold = ((WORK_HOLD << server.strikes.min(8)).max(turn as Micros)).min(WORK_HOLD_MOST);
        server.suspicion = Some(Suspicion { cause, since: now, hold });
        acts.push(Action::Log { text: cause.text().into(), server: Some(server.member.server) });
        // What is out there may be rescued elsewhere, where that is legal.
        let stuck: Vec<RequestId> = server.own.iter().map(|o| o.request).collect();
        for request in stuck {
            self.further(request, acts);
        }
        true
    }

    pub(super) fn clear(&mut self, i: usize, acts: &mut Actions) {
        let (now, server) = (self.now, &mut self.servers[i]);
        let Some(suspicion) = server.suspicion.take() else { return };
        server.failures = 0;
        // Guards against restarts that the list is silent about: what comes back from silence is cold.
        if suspicion.cause != Cause::Work && now > suspicion.since + 2 * SUSPECT_PROBE {
            server.cold_since = Some(now);
        }
        server.dead = false;
        server.reached = true;
        acts.push(Action::Log { text: "cleared".into(), server: Some(server.member.server) });
    }

    /// A newer start time: alive for it overrides suspicion of anything older.
    pub(super) fn reborn(&mut self, i: usize, acts: &mut Actions) {
        let now = self.now;
        let server = &mut self.servers[i];
        let launched = server.member.incarnation.unwrap_or(0);
        let flapping = server.strikes > 0 && now < server.struck + FORGET;
        (server.drained, server.foreign, server.held, server.held_own) = (false, 0.0, 0.0, 0.0);
        if now < launched + self.settings.slow_start_time {
            server.cold_since = Some(launched.min(now));
        }
        // A server that keeps restarting does not earn trust by its new start time alone.
        if !flapping {
            self.clear(i, acts);
        }
    }
}
