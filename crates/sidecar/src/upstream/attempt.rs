//! One attempt: a client's request sent to one server once, and what came of it.

use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{LoadReport, Outcome};
use arrowstand_platform::load_report::parse_load_report;
use awc::ClientRequest;
use awc::http::StatusCode;
use awc::http::header::{HeaderName, HeaderValue};
use tokio::time::{self, Instant};

use super::connection_pool::ConnectionPools;
use super::exchange::{CompleteResponse, ExchangeFailed, exchange, outcome_without_response};
use super::send_guard::SendGuard;
use super::server_directory::ServerDirectory;
use super::write_progress::WriteProgress;
use crate::host::Server;
use crate::limits::Limits;
use crate::message::{AttemptResult, FORWARDED_HEADERS, Payload, ProxyRequest};

/// The client's id of the request.
const REQUEST_ID: &str = "x-request-id";
/// How long the sidecar waits for the response, in microseconds with the unit `u`.
const TIMEOUT: &str = "x-timeout";
/// By this servers recognise a retry of what they have executed.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The server's load report, in its response.
const SERVER_LOAD: &str = "x-server-load";
/// With the value [`NOT_PROCESSED_TRUE`] in a response: the server has not executed the request.
const NOT_PROCESSED: &str = "x-not-processed";
const NOT_PROCESSED_TRUE: &str = "1";

/// An attempt that is about to be made.
pub(super) struct Attempt<'a> {
    /// Learns what the server has served.
    pub servers: &'a ServerDirectory,
    /// Every bound of the network code.
    pub limits: &'a Limits,
    /// Where the connection comes from.
    pub pools: &'a ConnectionPools,
    /// The server that it goes to.
    pub server: Rc<Server>,
    /// What is sent.
    pub request: &'a ProxyRequest,
    /// From now to the end of the response at most this long.
    pub timeout: Duration,
    /// The latest time at which a retry may begin, where that is bounded.
    pub start_before: Option<Instant>,
}

impl Attempt<'_> {
    /// Sends the request and waits for the response.
    pub(super) async fn run(self) -> AttemptResult {
        let Some(http_request) = self.http_request() else {
            return AttemptResult::without_response(Outcome::NotSent);
        };
        let body = self.request.payload.body.clone();
        let progress = WriteProgress::new(Some(self.send_guard()), body.len());
        let max_body_bytes = self.limits.max_body_bytes;
        let exchange = exchange(self.pools, http_request, body, &progress, max_body_bytes);
        match time::timeout(self.timeout, exchange).await {
            Ok(Ok(response)) => self.on_response(response, &progress),
            Ok(Err(ExchangeFailed)) => on_exchange_failed(&progress),
            Err(_elapsed) => on_timed_out(&progress),
        }
    }

    /// The request with the headers that servers understand; `None` where its method is none.
    fn http_request(&self) -> Option<ClientRequest> {
        let request = self.request;
        let uri = format!("http://{}{}", self.server.address(), request.target);
        let method = request.method.parse().ok()?;
        let timeout = format!("{}u", self.timeout.as_micros());
        let mut http_request = self.pools.client_for(&self.server).request(method, uri);
        insert_header(&mut http_request, REQUEST_ID, &request.id);
        insert_header(&mut http_request, TIMEOUT, &timeout);
        if let Some(key) = &request.idempotency_key {
            insert_header(&mut http_request, IDEMPOTENCY_KEY, key);
        }
        for (name, value) in &request.payload.headers {
            insert_header(&mut http_request, name, value);
        }
        Some(http_request)
    }

    fn send_guard(&self) -> SendGuard {
        SendGuard {
            list_freshness: self.servers.list_freshness(),
            server: Rc::clone(&self.server),
            address: self.server.address(),
            presence: self.request.presence.clone(),
            attempt_deadline: Instant::now() + self.timeout,
            start_before: self.start_before,
        }
    }

    fn on_response(&self, response: CompleteResponse, progress: &WriteProgress) -> AttemptResult {
        let load_report = response.header(SERVER_LOAD).and_then(parse_load_report);
        let not_processed = response.header(NOT_PROCESSED) == Some(NOT_PROCESSED_TRUE);
        match response.status {
            StatusCode::OK => self.on_served(response, load_report, progress),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => {
                AttemptResult::without_payload(Outcome::Rejected, load_report)
            }
            // A response that does not prove the contrary may come of a request that was executed.
            _ => AttemptResult::without_payload(Outcome::ServerError, load_report),
        }
    }

    fn on_served(
        &self,
        response: CompleteResponse,
        load_report: Option<LoadReport>,
        progress: &WriteProgress,
    ) -> AttemptResult {
        if let Some(started_at) = progress.started_at() {
            self.servers.on_request_served(&self.server, started_at);
        }
        let headers = FORWARDED_HEADERS
            .into_iter()
            .filter_map(|name| Some((name, response.header(name)?.to_owned())))
            .collect();
        let payload = Payload {
            body: response.body,
            headers,
        };
        AttemptResult {
            outcome: Outcome::Served,
            load_report,
            payload: Some(payload),
        }
    }
}

/// A request of which the last byte was never written cannot have been executed; the others may
/// have been.
fn on_timed_out(progress: &WriteProgress) -> AttemptResult {
    AttemptResult::without_response(outcome_without_response(progress, Outcome::TimedOut))
}

/// awc reports a connection that ended before a response as one that never came up, and a failure
/// before the last byte like one after it: only what the socket accepted counts here.
fn on_exchange_failed(progress: &WriteProgress) -> AttemptResult {
    AttemptResult::without_response(outcome_without_response(progress, Outcome::Reset))
}

/// Sets a header, or leaves it out where its value cannot be one: what came from a client may not
/// make the sidecar panic.
fn insert_header(request: &mut ClientRequest, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        request
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
