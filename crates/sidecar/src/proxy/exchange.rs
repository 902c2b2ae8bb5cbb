//! Drives one request to its final response: executes the balancer's actions for the request and
//! reports its attempts. The balancer makes all decisions.

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{Micros, Outcome, ServerId};
use tokio::sync::watch;
use tokio::time::Instant;

use super::Proxy;
use super::attempts::{Attempts, EndedAttempt};
use super::request_ids::RequestIdGuard;
use super::response::ProxyResponse;
use super::retry_window::RetryWindow;
use crate::host::{InFlightRequest, RequestAction};
use crate::message::ProxyRequest;

/// One exchange of a request and its response, with the attempts in flight.
pub(super) struct Exchange<'a> {
    // Must be dropped before `in_flight`, which reports unfinished attempts as cancelled.
    attempts: Attempts,
    in_flight: InFlightRequest,
    retry_window: RetryWindow,
    request: Rc<ProxyRequest>,
    proxy: &'a Proxy,
    id_guard: &'a RequestIdGuard,
}

impl<'a> Exchange<'a> {
    /// Admits a request to the balancer and creates its exchange.
    pub(super) fn admit(
        proxy: &'a Proxy,
        request: ProxyRequest,
        id_guard: &'a RequestIdGuard,
    ) -> Self {
        Self {
            attempts: Attempts::default(),
            in_flight: proxy.admission.admit(&request),
            retry_window: RetryWindow::new(
                proxy.admission.deduplication_window(request.class),
                proxy.limits.upstream.deduplication_margin,
            ),
            request: Rc::new(request),
            proxy,
            id_guard,
        }
    }

    /// Executes the balancer's actions until a final action, a served attempt, the response
    /// deadline or a forced shutdown ends the exchange.
    pub(super) async fn run(mut self, mut forced_shutdown: watch::Receiver<bool>) -> ProxyResponse {
        let response_deadline = self.response_deadline();
        loop {
            // Polls actions first, so that a final action takes precedence over the result of an
            // attempt that is ready at the same time.
            let response = tokio::select! {
                biased;
                action = self.in_flight.next_action() => self.execute(action),
                Some(ended) = self.attempts.next_ended() => self.on_attempt_ended(ended),
                () = tokio::time::sleep_until(response_deadline) => Some(self.on_overdue()),
                // Responds early, while the process still has time to write the response.
                _ = forced_shutdown.wait_for(|forced| *forced) => Some(self.on_overdue()),
            };
            if let Some(response) = response {
                return response;
            }
        }
    }

    /// The latest time at which the response is sent. If the balancer decides late, the client
    /// still gets a response before its timeout.
    fn response_deadline(&self) -> Instant {
        let margin = self.proxy.limits.client.response_margin;
        self.request.received_at + self.request.client_timeout.saturating_sub(margin)
    }

    /// Executes an action of the balancer; returns the response if the action is final.
    fn execute(&mut self, action: RequestAction) -> Option<ProxyResponse> {
        match action {
            RequestAction::Send { server, timeout } => {
                self.start_attempt(server, timeout);
                None
            }
            RequestAction::Cancel { attempt } => {
                self.attempts.abort(attempt);
                None
            }
            RequestAction::Reject { retry_after } => Some(self.on_rejected(retry_after)),
            RequestAction::Fail => Some(self.on_failed()),
        }
    }

    /// Starts an attempt. It times out after `timeout` (in microseconds) or at the client's
    /// deadline, whichever comes first.
    fn start_attempt(&mut self, server: ServerId, timeout: Option<Micros>) {
        self.id_guard.on_attempt_started();
        let attempt = self.in_flight.on_attempt_started(server);
        let now = Instant::now();
        let start_before = self.retry_window.on_attempt_started(now);
        let time_left = self.request.deadline().saturating_duration_since(now);
        let timeout = timeout.map_or(time_left, |t| Duration::from_micros(t).min(time_left));
        let upstream = Rc::clone(&self.proxy.upstream);
        let request = Rc::clone(&self.request);
        self.attempts.start(attempt, async move {
            upstream
                .forward(server, &request, timeout, start_before)
                .await
        });
    }

    /// Responds to a rejection by the balancer; `retry_after` is in microseconds.
    fn on_rejected(&self, retry_after: Option<Micros>) -> ProxyResponse {
        self.proxy.counters.responses_rejected.inc();
        let retry_after = retry_after.map(Duration::from_micros);
        ProxyResponse::Rejected {
            retry_after: retry_after.unwrap_or(self.proxy.limits.default_retry_after),
        }
    }

    /// Responds to a failure decided by the balancer.
    fn on_failed(&self) -> ProxyResponse {
        self.proxy.counters.responses_failed.inc();
        self.failed_response()
    }

    /// Reports an attempt that has ended; returns the response if the attempt was served.
    fn on_attempt_ended(&mut self, ended: EndedAttempt) -> Option<ProxyResponse> {
        let attempt = ended.attempt;
        let Some(result) = ended.result else {
            self.in_flight
                .on_attempt_ended(attempt, Outcome::Cancelled, None);
            return None;
        };
        let outcome = result.outcome;
        self.retry_window.on_attempt_ended(attempt, outcome);
        self.in_flight
            .on_attempt_ended(attempt, outcome, result.load_report);
        let payload = result.payload?;
        self.proxy.counters.responses_served.inc();
        Some(ProxyResponse::Served(payload))
    }

    /// Fails the request because of the response deadline or a forced shutdown.
    fn on_overdue(&mut self) -> ProxyResponse {
        self.in_flight.on_overdue();
        self.failed_response()
    }

    fn failed_response(&self) -> ProxyResponse {
        ProxyResponse::Failed {
            retry_after: self.proxy.limits.default_retry_after,
        }
    }
}
