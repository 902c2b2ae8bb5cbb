//! One attempt: sends a client's request to one server once and derives the outcome.

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

/// The client's request id.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// How long the sidecar waits for the response, in microseconds with the unit suffix `u`.
const TIMEOUT_HEADER: &str = "x-timeout";
/// The key by which servers detect repeated requests.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// A response header: the server's load report.
const SERVER_LOAD_HEADER: &str = "x-server-load";
/// A response header: the value [`NOT_PROCESSED_VALUE`] says that the server has not executed the
/// request.
const NOT_PROCESSED_HEADER: &str = "x-not-processed";
const NOT_PROCESSED_VALUE: &str = "1";

/// An attempt that has not been sent yet.
pub(super) struct Attempt<'a> {
    /// Records served requests, and provides the freshness of the endpoint list.
    pub servers: &'a ServerDirectory,
    /// The limits of the network code.
    pub limits: &'a Limits,
    /// The pools that provide the connection.
    pub pools: &'a ConnectionPools,
    /// The target server.
    pub server: Rc<Server>,
    /// The client's request.
    pub request: &'a ProxyRequest,
    /// Longest time from the start of the attempt to the end of the response.
    pub timeout: Duration,
    /// The latest time at which a retry may begin; `None` if there is no such limit.
    pub start_before: Option<Instant>,
}

impl Attempt<'_> {
    /// Sends the request and waits for the response.
    pub(super) async fn run(self) -> AttemptResult {
        let Some(http_request) = self.build_http_request() else {
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

    /// Builds the request with the headers that servers expect; `None` if its method is invalid.
    fn build_http_request(&self) -> Option<ClientRequest> {
        let request = self.request;
        let uri = format!("http://{}{}", self.server.address(), request.target);
        let method = request.method.parse().ok()?;
        let timeout = format!("{}u", self.timeout.as_micros());
        let mut http_request = self.pools.client_for(&self.server).request(method, uri);
        insert_header_if_valid(&mut http_request, REQUEST_ID_HEADER, &request.id);
        insert_header_if_valid(&mut http_request, TIMEOUT_HEADER, &timeout);
        if let Some(key) = &request.idempotency_key {
            insert_header_if_valid(&mut http_request, IDEMPOTENCY_KEY_HEADER, key);
        }
        for (name, value) in &request.payload.headers {
            insert_header_if_valid(&mut http_request, name, value);
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
        let load_report = response
            .header(SERVER_LOAD_HEADER)
            .and_then(parse_load_report);
        let not_processed = response.header(NOT_PROCESSED_HEADER) == Some(NOT_PROCESSED_VALUE);
        match response.status {
            StatusCode::OK => self.on_served(response, load_report, progress),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => {
                AttemptResult::without_payload(Outcome::Rejected, load_report)
            }
            // Unless the response proves otherwise, the request may have been executed.
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

/// A request that was not fully written cannot have been executed; a fully written one may have
/// been.
fn on_timed_out(progress: &WriteProgress) -> AttemptResult {
    AttemptResult::without_response(outcome_without_response(progress, Outcome::TimedOut))
}

/// awc reports a connection that ended before a response as a failed connect, and does not
/// distinguish a failure before the last byte from one after it. The outcome therefore depends only
/// on the bytes that the socket accepted.
fn on_exchange_failed(progress: &WriteProgress) -> AttemptResult {
    AttemptResult::without_response(outcome_without_response(progress, Outcome::Reset))
}

/// Sets a header, or omits it if the value is not a valid header value, so that input from a client
/// cannot make the sidecar panic.
fn insert_header_if_valid(request: &mut ClientRequest, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        request
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
