//! What the end of an attempt tells of its server, and what becomes of its request.

use crate::policy::Balancer;
use crate::state::ServerIndex;
use crate::{Actions, AttemptEnd, EjectionCause, Outcome};

/// Failures in a row raise a suspicion once they are as improbable as this, as a negative logarithm, where
/// other servers fail as often as they do: two of them where failures are rare.
const MAX_FAILURE_IMPROBABILITY: f64 = 9.0;

impl Balancer {
    /// An attempt ended: its request is finished, waits for another attempt, is retried or fails.
    pub(super) fn on_attempt_ended(&mut self, end: &AttemptEnd, actions: &mut Actions) {
        if let Some(server_index) = self.fleet.servers.find(end.server) {
            self.record_result(server_index, end, actions);
        }
        let Some(request) = self.requests.get_mut(end.request) else {
            return;
        };
        request.on_attempt_ended(end.attempt, end.outcome.never_executed());
        if end.finished {
            self.finish(end.request, actions);
        } else if request.in_flight_count() == 0 && !self.retry(end.request, actions) {
            self.reject_or_fail(end.request, actions);
        }
    }

    fn record_result(
        &mut self,
        server_index: ServerIndex,
        end: &AttemptEnd,
        actions: &mut Actions,
    ) {
        self.on_load_report(server_index, end.load_report);
        let (now, server) = (self.fleet.now, &mut self.fleet.servers[server_index]);
        let Some(attempt) = server.on_attempt_ended(end.request, end.attempt) else {
            return;
        };
        let served_since = server.failures.last_served_at() > attempt.sent_at;
        let serves_others = served_since && !server.suspicion.is_suspected();
        match end.outcome {
            Outcome::Served => {
                server.failures.on_served(now);
                self.on_response(server_index, &attempt);
                self.fleet.estimators.fleet_error_rate.on_served();
                self.readmit(server_index, actions);
            }
            Outcome::TimedOut if serves_others => self.on_response(server_index, &attempt),
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Rejected => {
                // Guards against a drain that the list cannot tell, which binds all the same after a time.
                let polling = &self.fleet.settings.polling;
                let may_drain = self.endpoint_poller.may_miss_drains(polling);
                // A full server is not broken, but it holds more than was known.
                server.on_rejected(attempt.queue_depth, may_drain, now);
                self.fleet.estimators.saturation.on_rejected(now);
            }
            Outcome::TimedOut | Outcome::ServerError | Outcome::ConnectFailed | Outcome::Reset => {
                self.on_attempt_failed(server_index, end.outcome, actions);
            }
        }
    }

    /// Guards against fast failures that look idle, and dead processes.
    fn on_attempt_failed(
        &mut self,
        server_index: ServerIndex,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let server = &mut self.fleet.servers[server_index];
        let (id, failures) = (server.id(), server.failures.on_failed());
        let timed_out = outcome == Outcome::TimedOut;
        if failures == 1 && !timed_out {
            self.fleet.estimators.fleet_error_rate.on_first_failure();
        }
        self.check_soon(id);
        let improbability = self
            .fleet
            .estimators
            .fleet_error_rate
            .run_improbability(failures);
        if improbability >= MAX_FAILURE_IMPROBABILITY && !timed_out {
            self.eject(server_index, EjectionCause::Attempts, actions);
        }
    }
}
