//! The balancer's side of one request: receives its actions and reports one outcome for each
//! attempt. Tracks the attempts in flight; does not know how an attempt is sent.

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{
    AttemptEnd, ClassId, Event, IncomingRequest, LoadReport, Micros, Outcome, RequestId, ServerId,
};
use tokio::sync::mpsc;

use super::balancer_host::BalancerHost;
use super::request_action::RequestAction;
use crate::units::micros;

struct InFlightAttempt {
    attempt: u32,
    server: ServerId,
    started_at: Micros,
}

/// A request admitted to the balancer. It gets exactly one final response.
pub(crate) struct InFlightRequest {
    host: Rc<BalancerHost>,
    id: RequestId,
    actions: mpsc::Receiver<RequestAction>,
    attempts_in_flight: Vec<InFlightAttempt>,
    attempts_started: u32,
    has_final_response: bool,
}

impl InFlightRequest {
    /// Admits a request to the balancer. `time_left` is the time until the client's deadline,
    /// `work_hint` the client's estimate of the execution time on a standard core, if it sent one.
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
            attempts_in_flight: Vec::new(),
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

    /// Waits for the balancer's next action. A final action ends the request.
    pub(crate) async fn next_action(&mut self) -> RequestAction {
        // The dispatcher keeps the sender until this request is dropped, so the channel is open.
        let action = self.actions.recv().await.unwrap_or(RequestAction::Fail);
        self.has_final_response |= action.is_final();
        action
    }

    /// Records an attempt that starts now and returns its number.
    pub(crate) fn on_attempt_started(&mut self, server: ServerId) -> u32 {
        let started = self.new_attempt(server);
        let attempt = started.attempt;
        self.attempts_in_flight.push(started);
        attempt
    }

    /// Reports the outcome of an attempt. A served attempt ends the request.
    pub(crate) fn on_attempt_ended(
        &mut self,
        attempt: u32,
        outcome: Outcome,
        load_report: Option<LoadReport>,
    ) {
        let has_number = |in_flight: &InFlightAttempt| in_flight.attempt == attempt;
        let Some(index) = self.attempts_in_flight.iter().position(has_number) else {
            return;
        };
        let ended = self.attempts_in_flight.swap_remove(index);
        self.has_final_response |= outcome == Outcome::Served;
        self.report_attempt_ended(&ended, outcome, load_report);
    }

    /// Ends a request for which the balancer has decided no final response by the response deadline
    /// or by the end of the process. Reports to the balancer that the client has disconnected, so
    /// that the balancer ends the request too.
    pub(crate) fn on_overdue(&mut self) {
        self.host.counters().responses_overdue.inc();
        self.report_client_disconnected();
    }

    fn report_client_disconnected(&mut self) {
        self.has_final_response = true;
        self.host
            .handle_event(Event::ClientDisconnected { request: self.id });
    }

    fn new_attempt(&mut self, server: ServerId) -> InFlightAttempt {
        let attempt = self.attempts_started;
        self.attempts_started += 1;
        InFlightAttempt {
            attempt,
            server,
            started_at: self.host.clock().now(),
        }
    }

    fn report_attempt_ended(
        &self,
        ended: &InFlightAttempt,
        outcome: Outcome,
        load_report: Option<LoadReport>,
    ) {
        self.host.counters().count_ended_attempt(outcome);
        self.host.handle_event(Event::AttemptEnded(AttemptEnd {
            request: self.id,
            attempt: ended.attempt,
            server: ended.server,
            outcome,
            request_finished: self.has_final_response,
            elapsed: self.host.clock().now().saturating_sub(ended.started_at),
            load_report,
        }));
    }

    /// Reports queued sends whose attempts were never started.
    fn report_unsent(&mut self) {
        while let Ok(action) = self.actions.try_recv() {
            if let RequestAction::Send { server, .. } = action {
                let unsent = self.new_attempt(server);
                self.report_attempt_ended(&unsent, Outcome::NotSent, None);
            }
        }
    }
}

impl Drop for InFlightRequest {
    /// A disconnect of the client may drop the request at any time. The balancer still expects one
    /// outcome for each send, so the outstanding ones are reported here.
    fn drop(&mut self) {
        if !self.has_final_response {
            self.host.counters().clients_disconnected.inc();
            self.report_client_disconnected();
        }
        self.host.unregister_request(self.id);
        for in_flight in std::mem::take(&mut self.attempts_in_flight) {
            self.report_attempt_ended(&in_flight, Outcome::Cancelled, None);
        }
        self.report_unsent();
    }
}
