//! The rules that every request keeps.

use super::script::{InFlight, Script, ScriptAttempt};
use crate::common::MS;
use arrowstand_balancer::{Action, Idempotency, Micros, RequestId, ServerId};

/// A request may be answered this much after its client's timeout.
const TOLERANCE: Micros = 30 * MS;

impl Script {
    pub(super) fn check_all(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send {
                    request, server, ..
                } => self.check_send(*request, *server),
                Action::Reject { request, .. } => self.check_rejection(*request),
                Action::Fail { request } => {
                    self.open.remove(request).expect("a second answer");
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, request: RequestId, server: ServerId) {
        let now = self.driver.now;
        let open = self
            .open
            .get_mut(&request)
            .expect("sent for a finished request");
        assert!(!self.barred[server.0 as usize], "sent to a drained server");
        assert!(open.attempts.len() < self.settings.retries.max_attempts as usize);
        if let Some(first) = open
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_executed())
        {
            let class = &self.settings.classes[open.class];
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::IdempotencyKey => {
                    assert_eq!(first.server.0 / 2, server.0 / 2, "left the cell");
                    assert!(
                        now < first.sent_at + class.deduplication_window,
                        "window closed"
                    );
                }
                Idempotency::NonIdempotent => panic!("an effect may happen twice"),
            }
        }
        self.in_flight.push(InFlight {
            request,
            attempt: open.attempts.len() as u32,
            server,
        });
        open.attempts.push(ScriptAttempt {
            server,
            sent_at: now,
            outcome: None,
        });
    }

    fn check_rejection(&mut self, request: RequestId) {
        let open = self.open.remove(&request).expect("a second answer");
        let idempotent = self.settings.classes[open.class].idempotency == Idempotency::Idempotent;
        let may_have_executed = open.attempts.iter().any(ScriptAttempt::may_have_executed);
        assert!(
            idempotent || !may_have_executed,
            "refused what may have run"
        );
    }

    pub(super) fn overdue(&self) -> usize {
        self.open
            .values()
            .filter(|request| request.deadline + TOLERANCE < self.driver.now)
            .count()
    }
}
