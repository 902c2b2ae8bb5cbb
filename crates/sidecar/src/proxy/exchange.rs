//! Drives one request to its final response: executes the balancer's actions for it and reports its
//! attempts. What is decided is the balancer's.

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{Micros, Outcome, ServerId};
use tokio::sync::watch;
use tokio::time::Instant;

use super::Proxy;
use super::attempts::{Attempts, EndedAttempt};
use super::response::ProxyResponse;
use super::retry_window::RetryWindow;
use crate::host::{InFlightRequest, RequestAction};
use crate::message::ProxyRequest;

/// One exchange of a request and its response: the request as the balancer knows it, and its
/// attempts.
pub(super) struct Exchange<'a> {
    // Dropped before the request in flight, which reports what has not ended as cancelled.
    attempts: Attempts,
    in_flight: InFlightRequest,
    retry_window: RetryWindow,
    request: Rc<ProxyRequest>,
    proxy: &'a Proxy,
}

impl<'a> Exchange<'a> {
    /// Hands a request to the balancer.
    pub(super) fn admit(proxy: &'a Proxy, request: ProxyRequest) -> Self {
        Self {
            attempts: Attempts::default(),
            in_flight: proxy.admission.admit(&request),
            retry_window: RetryWindow::new(
                proxy.admission.deduplication_window(request.class),
                proxy.limits.upstream.deduplication_margin,
            ),
            request: Rc::new(request),
            proxy,
        }
    }

    /// Executes the balancer's actions until one of them, an attempt or the time left ends the
    /// exchange. `forced_shutdown` becomes true where the process is about to end.
    pub(super) async fn run(mut self, mut forced_shutdown: watch::Receiver<bool>) -> ProxyResponse {
        let response_deadline = self.response_deadline();
        loop {
            // Actions come first: a final one must not lose against the result of an attempt that
            // is as ready.
            let response = tokio::select! {
                biased;
                action = self.in_flight.next_action() => self.execute(action),
                Some(ended) = self.attempts.next_ended() => self.on_attempt_ended(ended),
                () = tokio::time::sleep_until(response_deadline) => Some(self.on_overdue()),
                // The response is sent while the process still has time to write it.
                _ = forced_shutdown.wait_for(|forced| *forced) => Some(self.on_overdue()),
            };
            if let Some(response) = response {
                return response;
            }
        }
    }

    /// When the response is sent at the latest. Should the balancer be late, its client still gets
    /// a response before it gives up.
    fn response_deadline(&self) -> Instant {
        let margin = self.proxy.limits.client.response_margin;
        self.request.received_at + self.request.client_timeout.saturating_sub(margin)
    }

    /// Executes an action of the balancer's; returns the response where the action is final.
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

    /// Starts an attempt that ends after the timeout (in microseconds), or with the client's.
    fn start_attempt(&mut self, server: ServerId, timeout: Option<Micros>) {
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

    /// The balancer rejects the request; `retry_after` is in microseconds.
    fn on_rejected(&self, retry_after: Option<Micros>) -> ProxyResponse {
        self.proxy.counters.responses_rejected.inc();
        let advised = retry_after.map(Duration::from_micros);
        ProxyResponse::Rejected {
            retry_after: advised.unwrap_or(self.proxy.limits.default_retry_after),
        }
    }

    /// The balancer fails the request.
    fn on_failed(&self) -> ProxyResponse {
        self.proxy.counters.responses_failed.inc();
        self.failure()
    }

    /// Reports an attempt that has ended; returns the response where it was served.
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

    /// The balancer has not decided in time.
    fn on_overdue(&mut self) -> ProxyResponse {
        self.in_flight.on_overdue();
        self.failure()
    }

    fn failure(&self) -> ProxyResponse {
        ProxyResponse::Failed {
            retry_after: self.proxy.limits.default_retry_after,
        }
    }
}
