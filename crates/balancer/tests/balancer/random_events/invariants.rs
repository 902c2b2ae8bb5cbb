//! Invariants that hold for every request.

use super::harness::{Harness, InFlightAttempt, TrackedAttempt};
use crate::common::MS;
use arrowstand_balancer::{Action, Idempotency, Micros, RequestId, ServerId};

/// How late after the client's deadline the final response of a request may come.
const RESPONSE_TOLERANCE: Micros = 30 * MS;

impl Harness {
    /// Checks all actions, and records the attempts and final responses among them.
    pub(super) fn check_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send {
                    request, server, ..
                } => self.check_send(*request, *server),
                Action::Reject { request, .. } => self.check_rejection(*request),
                Action::Fail { request } => {
                    self.open_requests
                        .remove(request)
                        .expect("a request got a second final response");
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, request: RequestId, server: ServerId) {
        let now = self.driver.now;
        let tracked = self
            .open_requests
            .get_mut(&request)
            .expect("an attempt was sent for an unknown or finished request");
        assert!(
            !self.excluded[server.0 as usize],
            "an attempt was sent to an excluded server"
        );
        assert!(tracked.attempts.len() < self.settings.retries.max_attempts as usize);
        if let Some(prior) = tracked
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_executed())
        {
            let class = &self.settings.classes[tracked.class];
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::IdempotencyKey => {
                    assert_eq!(prior.server.0 / 2, server.0 / 2, "a retry left the cell");
                    assert!(
                        now < prior.sent_at + class.deduplication_window,
                        "a retry was sent after the end of the deduplication window"
                    );
                }
                Idempotency::NonIdempotent => panic!("a non-idempotent request may execute twice"),
            }
        }
        self.in_flight.push(InFlightAttempt {
            request,
            attempt: tracked.attempts.len() as u32,
            server,
        });
        tracked.attempts.push(TrackedAttempt {
            server,
            sent_at: now,
            outcome: None,
        });
    }

    fn check_rejection(&mut self, request: RequestId) {
        let tracked = self
            .open_requests
            .remove(&request)
            .expect("a request got a second final response");
        let idempotent =
            self.settings.classes[tracked.class].idempotency == Idempotency::Idempotent;
        let may_have_executed = tracked
            .attempts
            .iter()
            .any(TrackedAttempt::may_have_executed);
        assert!(
            idempotent || !may_have_executed,
            "a request that may have executed was rejected"
        );
    }

    /// Number of requests without a final response whose deadline has passed by more than the
    /// tolerance.
    pub(super) fn overdue_request_count(&self) -> usize {
        self.open_requests
            .values()
            .filter(|request| request.deadline + RESPONSE_TOLERANCE < self.driver.now)
            .count()
    }
}
