//! What the end of an attempt tells of its server.

use super::*;

/// Failures in a row raise a suspicion once they are as unlikely as this, as a negative logarithm, where
/// other servers fail as often as they do: two of them where failures are rare.
const FAILURES: f64 = 9.0;
const FAILURE_RATE: f64 = 0.01;
const FAILURE_WEIGHT: f64 = 0.02;
/// A server that fails part of its work is taken for so much slower, and no more than if it failed this part.
const FAILING_MOST: f64 = 0.8;

impl Balancer {
    pub(super) fn on_outcome(&mut self, end: AttemptEnd, acts: &mut Actions) {
        if let Some(i) = self.find(end.server) {
            self.learn(i, &end, acts);
        }
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        if let Some(attempt) = request.attempts.get_mut(end.attempt as usize) {
            attempt.fate = if end.outcome.never_executed() { Fate::NeverRan } else { Fate::MayHaveRun };
        }
        if end.finished {
            self.finish(end.request, acts);
            return;
        }
        if request.attempts.iter().any(|a| a.fate == Fate::Out) {
            return;
        }
        if !self.further(end.request, acts) {
            self.end(end.request, acts);
        }
    }

    fn learn(&mut self, i: usize, end: &AttemptEnd, acts: &mut Actions) {
        self.take_report(i, end.load_report);
        let (now, server) = (self.now, &mut self.servers[i]);
        let own = server.own.iter().position(|o| (o.request, o.attempt) == (end.request, end.attempt));
        let Some(own) = own.map(|at| server.own.swap_remove(at)) else { return };
        let elapsed = now.saturating_sub(own.sent) as f64;
        match end.outcome {
            Outcome::Served => {
                (server.served, server.failures) = (now, 0);
                server.failing -= PACE_WEIGHT * server.failing;
                self.learn_latency(i, elapsed, &own);
                self.errors -= FAILURE_WEIGHT * self.errors;
                self.clear(i, acts);
            }
            Outcome::TimedOut if server.suspicion.is_none() && server.served > own.sent => {
                self.learn_latency(i, elapsed, &own);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Rejected => {
                // A full server is no broken one, but it holds more than we knew.
                server.foreign = server.foreign.max(own.load + 1.0);
                server.foreign_at = now;
                // Guards against a drain that the list cannot tell, which binds all the same after a time.
                server.doubted = self.settings.poll_endpoints && !self.subscribed;
                self.feel(1.0);
            }
            _ => {
                // Guards against fast failures that look idle, and dead processes; yet failures that are
                // spread over the servers are bad requests, or the network's. A run at one counts once there.
                server.failures += 1;
                server.failing += PACE_WEIGHT * (FAILING_MOST - server.failing);
                let count = server.failures;
                if count == 1 && end.outcome != Outcome::TimedOut {
                    self.errors += FAILURE_WEIGHT * (1.0 - self.errors);
                }
                let usual = self.errors.max(FAILURE_RATE);
                self.probe_soon(end.server);
                if f64::from(count) * -usual.ln() >= FAILURES && end.outcome != Outcome::TimedOut {
                    self.suspect(i, Cause::Work, acts);
                }
            }
        }
    }
}
