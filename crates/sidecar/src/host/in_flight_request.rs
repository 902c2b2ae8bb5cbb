//! One request towards the balancer: the actions that it gets, and one result for each attempt.
//! Owns what is in flight of the request; does not know how an attempt is made.

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{
    AttemptEnd, ClassId, Event, IncomingRequest, LoadReport, Micros, Outcome, RequestId, ServerId,
};
use tokio::sync::mpsc;

use super::balancer_host::BalancerHost;
use super::request_action::RequestAction;
use crate::units::micros;

struct OpenAttempt {
    attempt: u32,
    server: ServerId,
    started_at: Micros,
}

/// A request that the balancer knows of and that gets one final response.
pub(crate) struct InFlightRequest {
    host: Rc<BalancerHost>,
    id: RequestId,
    actions: mpsc::Receiver<RequestAction>,
    open_attempts: Vec<OpenAttempt>,
    attempts_started: u32,
    has_final_response: bool,
}

impl InFlightRequest {
    /// Hands a request to the balancer. `time_left` is until its client gives up, `work_hint` its
    /// work on a usual server where the client gave an estimate.
    pub(crate) fn admit(
        host: &Rc<BalancerHost>,
        class: ClassId,
        time_left: Duration,
        work_hint: Option<Duration>,
    ) -> Self {
        let (id, actions) = host.register_request();
        let request = Self {
            host: Rc::clone(host),
            id,
            actions,
            open_attempts: Vec::new(),
            attempts_started: 0,
            has_final_response: false,
        };
        host.counters().requests_accepted.inc();
        host.handle_event(Event::RequestArrived(IncomingRequest {
            id,
            class,
            time_left: micros(time_left),
            work_hint: work_hint.map(micros),
        }));
        request
    }

    /// Waits for the balancer's next action; after a final one the request has ended.
    pub(crate) async fn next_action(&mut self) -> RequestAction {
        // The dispatcher keeps the sending end until this request is dropped.
        let action = self.actions.recv().await.unwrap_or(RequestAction::Fail);
        self.has_final_response |= action.is_final();
        action
    }

    /// Records an attempt that starts now and gives its number.
    pub(crate) fn on_attempt_started(&mut self, server: ServerId) -> u32 {
        let open = self.new_attempt(server);
        let attempt = open.attempt;
        self.open_attempts.push(open);
        attempt
    }

    /// Reports how an attempt ended. One that was served ends the request.
    pub(crate) fn on_attempt_ended(
        &mut self,
        attempt: u32,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let is_it = |open: &OpenAttempt| open.attempt == attempt;
        let Some(index) = self.open_attempts.iter().position(is_it) else {
            return;
        };
        let ended = self.open_attempts.swap_remove(index);
        self.has_final_response |= outcome == Outcome::Served;
        self.report(&ended, outcome, report);
    }

    /// Ends a request that the balancer has not decided by the last moment for a response.
    pub(crate) fn on_overdue(&mut self) {
        self.host.counters().responses_overdue.inc();
        self.on_client_gone();
    }

    fn on_client_gone(&mut self) {
        self.has_final_response = true;
        self.host
            .handle_event(Event::ClientDisconnected { request: self.id });
    }

    fn new_attempt(&mut self, server: ServerId) -> OpenAttempt {
        let attempt = self.attempts_started;
        self.attempts_started += 1;
        OpenAttempt {
            attempt,
            server,
            started_at: self.host.clock().now(),
        }
    }

    fn report(&self, ended: &OpenAttempt, outcome: Outcome, report: Option<LoadReport>) {
        self.host.counters().on_attempt_ended(outcome);
        self.host.handle_event(Event::AttemptEnded(AttemptEnd {
            request: self.id,
            attempt: ended.attempt,
            server: ended.server,
            outcome,
            finished: self.has_final_response,
            elapsed: self.host.clock().now().saturating_sub(ended.started_at),
            load_report: report,
        }));
    }

    /// Reports the sends that the balancer has queued and that were never started.
    fn report_unsent(&mut self) {
        while let Ok(action) = self.actions.try_recv() {
            if let RequestAction::Send { server, .. } = action {
                let unsent = self.new_attempt(server);
                self.report(&unsent, Outcome::NotSent, None);
            }
        }
    }
}

impl Drop for InFlightRequest {
    /// The client may disconnect at any point, which drops the request. The balancer still waits
    /// for one result of each send, so what is open is reported here.
    fn drop(&mut self) {
        if !self.has_final_response {
            self.host.counters().clients_disconnected.inc();
            self.on_client_gone();
        }
        self.host.unregister_request(self.id);
        for open in std::mem::take(&mut self.open_attempts) {
            self.report(&open, Outcome::Cancelled, None);
        }
        self.report_unsent();
    }
}
