//! A transaction's tie to the module: the steps it is told, and the outcomes that it owes.

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{
    AttemptEnd, ClassId, Event, IncomingRequest, LoadReport, Micros, Outcome, RequestId, ServerId,
};
use tokio::sync::mpsc;

use super::BalancerHost;

/// What the module wants done next for a transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestAction {
    Send {
        server: ServerId,
        timeout: Option<Micros>,
    },
    Cancel {
        attempt: u32,
    },
    Reject {
        retry_after: Option<Micros>,
    },
    Fail,
}

struct OpenAttempt {
    attempt: u32,
    server: ServerId,
    sent: Micros,
}

/// A transaction that the module knows of and that is owed one final answer.
pub struct InFlightRequest {
    host: Rc<BalancerHost>,
    id: RequestId,
    actions: mpsc::Receiver<RequestAction>,
    open_attempts: Vec<OpenAttempt>,
    attempts_started: u32,
    has_final_response: bool,
}

impl InFlightRequest {
    /// Tells the module of a new transaction.
    pub fn admit(
        host: &Rc<BalancerHost>,
        class: ClassId,
        time_left: Duration,
        cost: Option<Duration>,
    ) -> Self {
        // The module asks for ids that are never used twice, which a terminal's word does not ensure.
        let id = RequestId(host.next_request.get());
        host.next_request.set(id.0 + 1);
        let (mailbox, steps) = mpsc::channel(host.limits.max_queued_actions);
        host.action_senders.borrow_mut().insert(id, mailbox);
        let owed = Self {
            host: Rc::clone(host),
            id,
            actions: steps,
            open_attempts: Vec::new(),
            attempts_started: 0,
            has_final_response: false,
        };
        host.counters.requests_accepted.add();
        let time_left = time_left.as_micros() as Micros;
        let size_hint = cost.map(|cost| cost.as_micros() as Micros);
        host.handle_event(Event::RequestArrived(IncomingRequest {
            id,
            class,
            time_left,
            work_hint: size_hint,
        }));
        owed
    }

    /// Waits for the module's next step; a final one closes the transaction.
    pub async fn next_action(&mut self) -> RequestAction {
        // The core holds the sending end until this transaction is dropped.
        let step = self.actions.recv().await.unwrap_or(RequestAction::Fail);
        self.has_final_response |=
            matches!(step, RequestAction::Reject { .. } | RequestAction::Fail);
        step
    }

    /// Counts a send and gives its number.
    pub fn on_attempt_started(&mut self, server: ServerId) -> u32 {
        let attempt = self.attempts_started;
        self.attempts_started += 1;
        self.open_attempts.push(OpenAttempt {
            attempt,
            server,
            sent: self.host.now(),
        });
        attempt
    }

    /// Tells the module how a routed task ended. Being served finishes the transaction.
    pub fn on_attempt_ended(&mut self, attempt: u32, outcome: Outcome, report: Option<LoadReport>) {
        let Some(at) = self.open_attempts.iter().position(|o| o.attempt == attempt) else {
            return;
        };
        let out = self.open_attempts.swap_remove(at);
        self.has_final_response |= outcome == Outcome::Served;
        self.report(&out, outcome, report);
    }

    /// Closes a transaction that the module has let run to its terminal's last moment.
    pub fn on_overdue(&mut self) {
        self.has_final_response = true;
        self.host.counters.responses_overdue.add();
        self.host
            .handle_event(Event::ClientDisconnected { request: self.id });
    }

    fn report(&self, out: &OpenAttempt, outcome: Outcome, report: Option<LoadReport>) {
        self.host.counters.on_attempt_ended(outcome);
        self.host.handle_event(Event::AttemptEnded(AttemptEnd {
            request: self.id,
            attempt: out.attempt,
            server: out.server,
            outcome,
            finished: self.has_final_response,
            elapsed: self.host.now().saturating_sub(out.sent),
            load_report: report,
        }));
    }
}

impl Drop for InFlightRequest {
    /// Guards against a module that waits for outcomes of a transaction that is over: the terminal may
    /// leave at any point, which drops the whole transaction, and each send must still get its one outcome.
    fn drop(&mut self) {
        if !self.has_final_response {
            self.has_final_response = true;
            self.host.counters.clients_disconnected.add();
            self.host
                .handle_event(Event::ClientDisconnected { request: self.id });
        }
        self.host.action_senders.borrow_mut().remove(&self.id);
        for out in std::mem::take(&mut self.open_attempts) {
            self.report(&out, Outcome::Cancelled, None);
        }
        while let Ok(step) = self.actions.try_recv() {
            if let RequestAction::Send { server, .. } = step {
                let attempt = self.attempts_started;
                self.attempts_started += 1;
                let unsent = OpenAttempt {
                    attempt,
                    server,
                    sent: self.host.now(),
                };
                self.report(&unsent, Outcome::NotSent, None);
            }
        }
    }
}
