//! Drives one request to its final response: executes the balancer's actions for it and reports its
//! attempts. What is decided is the balancer's.

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{Micros, Outcome, ServerId};
use tokio::time::Instant;

use super::attempts::{Attempts, EndedAttempt};
use super::response::ProxyResponse;
use super::retry_window::RetryWindow;
use crate::host::{BalancerHost, InFlightRequest, RequestAction};
use crate::message::ProxyRequest;
use crate::upstream::Upstream;

/// Runs a request to its final response. Dropped early, when its client has disconnected, it
/// cancels the attempts that are in flight.
pub(crate) async fn run(
    host: Rc<BalancerHost>,
    upstream: Rc<Upstream>,
    request: ProxyRequest,
) -> ProxyResponse {
    let Some(_id_guard) = host.reserve_request_id(&request.id) else {
        return ProxyResponse::DuplicateId;
    };
    let mut forced_shutdown = host.forced_shutdown();
    // Guards against work that starts for a client that has left, or that the end of the process
    // would cut short.
    if request.presence.is_disconnected() || *forced_shutdown.borrow() {
        return ProxyResponse::Rejected {
            retry_after: host.limits.default_retry_after,
        };
    }
    let response_deadline = response_deadline(&request, host.limits.client.response_margin);
    let mut exchange = Exchange::admit(host, upstream, request);
    loop {
        // Actions come first: a final one must not lose against the result of an attempt that is as
        // ready.
        let response = tokio::select! {
            biased;
            action = exchange.in_flight.next_action() => exchange.execute(action),
            Some(ended) = exchange.attempts.next_ended() => exchange.on_attempt_ended(ended),
            () = tokio::time::sleep_until(response_deadline) => Some(exchange.on_overdue()),
            // Guards against a response that the end of the process would cut off: it is sent while
            // there is time.
            _ = forced_shutdown.wait_for(|forced| *forced) => Some(exchange.on_overdue()),
        };
        if let Some(response) = response {
            return response;
        }
    }
}

/// When the response is sent at the latest. Guards against a response after the client has given
/// up, should the balancer be late.
fn response_deadline(request: &ProxyRequest, margin: Duration) -> Instant {
    request.arrived + request.client_timeout.saturating_sub(margin)
}

/// One exchange of a request and its response: the request as the balancer knows it, and its
/// attempts.
struct Exchange {
    // Dropped before the request in flight, which reports what has not ended as cancelled.
    attempts: Attempts,
    in_flight: InFlightRequest,
    retry_window: RetryWindow,
    request: Rc<ProxyRequest>,
    upstream: Rc<Upstream>,
    host: Rc<BalancerHost>,
}

impl Exchange {
    /// Hands a request to the balancer.
    fn admit(host: Rc<BalancerHost>, upstream: Rc<Upstream>, request: ProxyRequest) -> Self {
        let elapsed = request.arrived.elapsed();
        let time_left = request.client_timeout.saturating_sub(elapsed);
        Self {
            attempts: Attempts::default(),
            in_flight: InFlightRequest::admit(&host, request.class, time_left, request.work_hint),
            retry_window: RetryWindow::new(
                host.deduplication_window(request.class),
                host.limits.upstream.deduplication_margin,
            ),
            request: Rc::new(request),
            upstream,
            host,
        }
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
        let upstream = Rc::clone(&self.upstream);
        let request = Rc::clone(&self.request);
        self.attempts.start(attempt, async move {
            upstream
                .forward(server, &request, timeout, start_before)
                .await
        });
    }

    /// The balancer rejects the request; `retry_after` is in microseconds.
    fn on_rejected(&self, retry_after: Option<Micros>) -> ProxyResponse {
        self.host.counters.responses_rejected.add();
        let advised = retry_after.map(Duration::from_micros);
        ProxyResponse::Rejected {
            retry_after: advised.unwrap_or(self.host.limits.default_retry_after),
        }
    }

    /// The balancer fails the request.
    fn on_failed(&self) -> ProxyResponse {
        self.host.counters.responses_failed.add();
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
        self.host.counters.responses_served.add();
        Some(ProxyResponse::Served(payload))
    }

    /// The balancer has not decided in time.
    fn on_overdue(&mut self) -> ProxyResponse {
        self.in_flight.on_overdue();
        self.failure()
    }

    fn failure(&self) -> ProxyResponse {
        ProxyResponse::Failed {
            retry_after: self.host.limits.default_retry_after,
        }
    }
}
