//! A transaction's tie to the module: the steps it is told, and the outcomes that it owes.

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{
    AttemptEnd, ClassId, Event, IncomingRequest, LoadReport, Micros, Outcome, RequestId, ServerId,
};
use tokio::sync::mpsc;

use super::Core;

/// What the module wants done next for a transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Send {
        server: ServerId,
        timeout: Option<Micros>,
    },
    Cancel {
        attempt: u32,
    },
    Refuse {
        retry_after: Option<Micros>,
    },
    Fail,
}

struct Out {
    attempt: u32,
    server: ServerId,
    sent: Micros,
}

/// A transaction that the module knows of and that is owed one final answer.
pub struct Owed {
    core: Rc<Core>,
    id: RequestId,
    steps: mpsc::Receiver<Step>,
    out: Vec<Out>,
    sends: u32,
    answered: bool,
}

impl Owed {
    /// Tells the module of a new transaction.
    pub fn admit(
        core: &Rc<Core>,
        class: ClassId,
        time_left: Duration,
        cost: Option<Duration>,
    ) -> Self {
        // The module asks for ids that are never used twice, which a terminal's word does not ensure.
        let id = RequestId(core.next_request.get());
        core.next_request.set(id.0 + 1);
        let (mailbox, steps) = mpsc::channel(core.limits.steps);
        core.waiting.borrow_mut().insert(id, mailbox);
        let owed = Self {
            core: Rc::clone(core),
            id,
            steps,
            out: Vec::new(),
            sends: 0,
            answered: false,
        };
        core.counters.transactions_taken.add();
        let time_left = time_left.as_micros() as Micros;
        let size_hint = cost.map(|cost| cost.as_micros() as Micros);
        core.tell(Event::RequestArrived(IncomingRequest {
            id,
            class,
            time_left,
            work_hint: size_hint,
        }));
        owed
    }

    /// Waits for the module's next step; a final one closes the transaction.
    pub async fn step(&mut self) -> Step {
        // The core holds the sending end until this transaction is dropped.
        let step = self.steps.recv().await.unwrap_or(Step::Fail);
        self.answered |= matches!(step, Step::Refuse { .. } | Step::Fail);
        step
    }

    /// Counts a send and gives its number.
    pub fn sent(&mut self, server: ServerId) -> u32 {
        let attempt = self.sends;
        self.sends += 1;
        self.out.push(Out {
            attempt,
            server,
            sent: self.core.now(),
        });
        attempt
    }

    /// Tells the module how a routed task ended. Being served finishes the transaction.
    pub fn ended(&mut self, attempt: u32, outcome: Outcome, report: Option<LoadReport>) {
        let Some(at) = self.out.iter().position(|o| o.attempt == attempt) else {
            return;
        };
        let out = self.out.swap_remove(at);
        self.answered |= outcome == Outcome::Served;
        self.report(&out, outcome, report);
    }

    /// Closes a transaction that the module has let run to its terminal's last moment.
    pub fn overdue(&mut self) {
        self.answered = true;
        self.core.counters.answered_overdue.add();
        self.core
            .tell(Event::ClientDisconnected { request: self.id });
    }

    fn report(&self, out: &Out, outcome: Outcome, report: Option<LoadReport>) {
        self.core.counters.routed(outcome);
        self.core.tell(Event::AttemptEnded(AttemptEnd {
            request: self.id,
            attempt: out.attempt,
            server: out.server,
            outcome,
            finished: self.answered,
            elapsed: self.core.now().saturating_sub(out.sent),
            load_report: report,
        }));
    }
}

impl Drop for Owed {
    /// Guards against a module that waits for outcomes of a transaction that is over: the terminal may
    /// leave at any point, which drops the whole transaction, and each send must still get its one outcome.
    fn drop(&mut self) {
        if !self.answered {
            self.answered = true;
            self.core.counters.terminals_gone.add();
            self.core
                .tell(Event::ClientDisconnected { request: self.id });
        }
        self.core.waiting.borrow_mut().remove(&self.id);
        for out in std::mem::take(&mut self.out) {
            self.report(&out, Outcome::Cancelled, None);
        }
        while let Ok(step) = self.steps.try_recv() {
            if let Step::Send { server, .. } = step {
                let attempt = self.sends;
                self.sends += 1;
                let unsent = Out {
                    attempt,
                    server,
                    sent: self.core.now(),
                };
                self.report(&unsent, Outcome::NotSent, None);
            }
        }
    }
}
