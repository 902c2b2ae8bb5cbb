//! What the end of an attempt tells of its server.

use super::*;

/// Failures in a row raise a suspicion once they are as unlikely as this, as a negative logarithm, where
/// other servers fail as often as they do: two of them where failures are rare.
const MAX_FAILURE_IMPROBABILITY: f64 = 9.0;
const MIN_FLEET_ERROR_RATE: f64 = 0.01;
const FLEET_ERROR_WEIGHT: f64 = 0.02;
/// A server that fails part of its work is taken for so much slower, and no more than if it failed this part.
const MAX_FAILURE_RATE: f64 = 0.8;

impl Balancer {
    pub(super) fn on_attempt_ended(&mut self, end: AttemptEnd, actions: &mut Actions) {
        if let Some(i) = self.find(end.server) {
            self.record_attempt_result(i, &end, actions);
        }
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        if let Some(attempt) = request.attempts.get_mut(end.attempt as usize) {
            attempt.state = if end.outcome.never_executed() {
                AttemptState::NeverExecuted
            } else {
                AttemptState::MayHaveExecuted
            };
        }
        if end.finished {
            self.finish(end.request, actions);
            return;
        }
        if request.attempts.iter().any(|a| a.state == AttemptState::InFlight) {
            return;
        }
        if !self.retry(end.request, actions) {
            self.reject_or_fail(end.request, actions);
        }
    }

    fn record_attempt_result(&mut self, i: usize, end: &AttemptEnd, actions: &mut Actions) {
        self.on_load_report(i, end.load_report);
        let (now, server) = (self.now, &mut self.servers[i]);
        let own = server.in_flight.iter().position(|o| (o.request, o.attempt) == (end.request, end.attempt));
        let Some(own) = own.map(|at| server.in_flight.swap_remove(at)) else { return };
        let elapsed = now.saturating_sub(own.sent) as f64;
        match end.outcome {
            Outcome::Served => {
                (server.last_served_at, server.consecutive_failures) = (now, 0);
                server.failure_rate -= SERVER_WEIGHT * server.failure_rate;
                self.record_latency(i, elapsed, &own);
                self.fleet_error_rate -= FLEET_ERROR_WEIGHT * self.fleet_error_rate;
                self.readmit(i, actions);
            }
            Outcome::TimedOut if server.suspicion.is_none() && server.last_served_at > own.sent => {
                self.record_latency(i, elapsed, &own);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Rejected => {
                // A full server is no broken one, but it holds more than we knew.
                server.in_flight_elsewhere = server.in_flight_elsewhere.max(own.queue_depth + 1.0);
                server.load_updated_at = now;
                // Guards against a drain that the list cannot tell, which binds all the same after a time.
                server.possibly_draining = self.settings.poll_endpoints && !self.subscribed;
                self.record_latency_share(1.0);
            }
            _ => {
                // Guards against fast failures that look idle, and dead processes; yet failures that are
                // spread over the servers are bad requests, or the network's. A run at one counts once there.
                server.consecutive_failures += 1;
                server.failure_rate += SERVER_WEIGHT * (MAX_FAILURE_RATE - server.failure_rate);
                let count = server.consecutive_failures;
                if count == 1 && end.outcome != Outcome::TimedOut {
                    self.fleet_error_rate += FLEET_ERROR_WEIGHT * (1.0 - self.fleet_error_rate);
                }
                let usual = self.fleet_error_rate.max(MIN_FLEET_ERROR_RATE);
                self.check_soon(end.server);
                if f64::from(count) * -usual.ln() >= MAX_FAILURE_IMPROBABILITY
                    && end.outcome != Outcome::TimedOut
                {
                    self.eject(i, SuspicionCause::Attempts, actions);
                }
            }
        }
    }
}
