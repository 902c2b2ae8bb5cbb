//! Calls to job servers: routed tasks and probes, the connections they use, and what their ends mean.

mod connection_limiter;
mod connector;
mod load_report;
mod response_framing;
mod response_head;
mod reuse_delay;
pub mod send_guard;
mod tracked_stream;
mod write_progress;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage as _;
use arrowstand_balancer::{Event, LoadReport, Outcome, ServerId};
use awc::http::StatusCode;
use awc::http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use awc::{Client, ClientRequest};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::counters::Counters;
use crate::host::{BalancerHost, Server};
use crate::limits::Limits;
use crate::proxy::{FORWARDED_HEADERS, Payload, ProxyRequest};
use connector::BoundedConnector;
use load_report::read_report;
use reuse_delay::ReuseDelay;
use write_progress::{SendGuard, WriteProgress};

/// How a routed task ended; the answer is there if it was served.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub load_report: Option<LoadReport>,
    pub payload: Option<Payload>,
}

impl AttemptResult {
    fn without_payload(outcome: Outcome) -> Self {
        Self {
            outcome,
            load_report: None,
            payload: None,
        }
    }
}

/// One server's connection pool: a client that holds that server's connections only.
struct Pool {
    address: SocketAddr,
    client: Client,
    used: Instant,
}

/// What is needed to call job servers.
pub struct Upstream {
    host: Rc<BalancerHost>,
    pools: RefCell<BTreeMap<ServerId, Pool>>,
    connector: Rc<BoundedConnector>,
    reuse_delay: ReuseDelay,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

/// An answer read to its end.
struct CompleteResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Upstream {
    pub fn new(host: &Rc<BalancerHost>) -> Rc<Self> {
        let (limits, counters) = (Rc::clone(&host.limits), Rc::clone(&host.counters));
        let sockets = BoundedConnector::new(Rc::clone(&limits), Rc::clone(&counters));
        let resting = ReuseDelay::new(limits.upstream.reuse_delay);
        Rc::new(Self {
            host: Rc::clone(host),
            pools: RefCell::default(),
            connector: sockets,
            reuse_delay: resting,
            limits,
            counters,
        })
    }

    /// Sends a transaction's request to a job server once, and waits for the answer.
    pub async fn forward(
        &self,
        server: ServerId,
        ask: &ProxyRequest,
        wait: Duration,
        begins_by: Option<Instant>,
    ) -> AttemptResult {
        let Some(server) = self.host.server(server) else {
            return AttemptResult::without_payload(Outcome::NotSent);
        };
        self.counters.attempts_started.add();
        let uri = format!("http://{}{}", server.address(), ask.target);
        let Ok(method) = ask.method.parse() else {
            return AttemptResult::without_payload(Outcome::NotSent);
        };
        let mut request = self.client_for(&server).request(method, uri);
        insert_header(&mut request, "x-request-id", &ask.id);
        insert_header(&mut request, "x-timeout", &format!("{}u", wait.as_micros()));
        if let Some(key) = &ask.idempotency_key {
            insert_header(&mut request, "idempotency-key", key);
        }
        for (name, value) in &ask.payload.headers {
            insert_header(&mut request, name, value);
        }
        let gate = SendGuard {
            host: Rc::clone(&self.host),
            server: Rc::clone(&server),
            address: server.address(),
            presence: ask.presence.clone(),
            attempt_deadline: Instant::now() + wait,
            start_before: begins_by,
        };
        let sending = WriteProgress::new(Some(gate), ask.payload.body.len());
        let whole = self.call(request, ask.payload.body.clone(), &sending);
        let Ok(whole) = timeout(wait, whole).await else {
            // A request that was never written whole cannot have been started.
            return AttemptResult::without_payload(outcome_without_response(
                &sending,
                Outcome::TimedOut,
            ));
        };
        let Some(whole) = whole else {
            // awc reports a connection that ended before an answer as one that never came up, and reads
            // a break before and after the last byte alike. Only what the socket took counts here.
            return AttemptResult::without_payload(outcome_without_response(
                &sending,
                Outcome::Reset,
            ));
        };
        let text = |name: &str| whole.headers.get(name).and_then(|v| v.to_str().ok());
        let report = text("x-server-load").and_then(read_report);
        let unprocessed = text("x-not-processed") == Some("1");
        match whole.status {
            StatusCode::OK => {
                sending
                    .started_at()
                    .inspect(|&begun| server.on_request_served(self.host.micros_at(begun)));
                let labels = FORWARDED_HEADERS
                    .into_iter()
                    .filter_map(|name| Some((name, text(name)?.to_owned())))
                    .collect();
                AttemptResult {
                    outcome: Outcome::Served,
                    load_report: report,
                    payload: Some(Payload {
                        body: whole.body,
                        headers: labels,
                    }),
                }
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => {
                AttemptResult {
                    load_report: report,
                    ..AttemptResult::without_payload(Outcome::Rejected)
                }
            }
            // An answer that does not prove the contrary may have run.
            _ => AttemptResult {
                load_report: report,
                ..AttemptResult::without_payload(Outcome::ServerError)
            },
        }
    }

    /// Asks a job server for its load.
    async fn health_check(&self, server: &Rc<Server>) -> (Outcome, Option<LoadReport>) {
        let uri = format!("http://{}/status/load", server.address());
        let request = self.client_for(server).get(uri);
        // A probe is no work: it may go to a job server that drains.
        let sending = WriteProgress::new(None, 0);
        let call = self.call(request, Bytes::new(), &sending);
        match timeout(self.limits.upstream.health_check_timeout, call).await {
            Ok(Some(whole)) => {
                let text = std::str::from_utf8(&whole.body).unwrap_or_default();
                let report = read_report(text);
                if report.is_none() && !text.trim().is_empty() {
                    self.counters.load_reports_skipped.add();
                }
                let good = whole.status == StatusCode::OK;
                (
                    if good {
                        Outcome::Served
                    } else {
                        Outcome::Rejected
                    },
                    report,
                )
            }
            Ok(None) => (outcome_without_response(&sending, Outcome::Reset), None),
            Err(_) => (Outcome::TimedOut, None),
        }
    }

    /// Carries out the probes that the module asks for.
    pub async fn run_health_checks(self: Rc<Self>, mut wanted: mpsc::Receiver<ServerId>) {
        while let Some(id) = wanted.recv().await {
            let Some(server) = self.host.server(id) else {
                // Each probe that is asked for is owed its end.
                self.host.handle_event(Event::HealthCheckEnded {
                    server: id,
                    outcome: Outcome::NotSent,
                    load_report: None,
                });
                continue;
            };
            let this = Rc::clone(&self);
            self.counters.health_checks_sent.add();
            actix_rt::spawn(async move {
                let (outcome, report) = this.health_check(&server).await;
                if outcome != Outcome::Served {
                    this.counters.health_checks_failed.add();
                }
                this.host.handle_event(Event::HealthCheckEnded {
                    server: id,
                    outcome,
                    load_report: report,
                });
            });
        }
    }

    /// Sends and reads to the end; nothing where the connection failed on the way.
    async fn call(
        &self,
        request: ClientRequest,
        body: Bytes,
        sending: &Rc<WriteProgress>,
    ) -> Option<CompleteResponse> {
        let bare = body.is_empty() && request.get_method() == awc::http::Method::GET;
        let send = async {
            let request = request.no_decompress();
            let answer = if bare {
                request.send().await
            } else {
                request.send_body(body).await
            };
            let mut answer = answer.ok()?;
            let mut body = BytesMut::new();
            let length = answer
                .headers()
                .get(CONTENT_LENGTH)
                .and_then(|v| v.to_str().ok()?.parse().ok());
            let length = length.filter(|&n: &usize| n > 0);
            while length.is_none_or(|length| body.len() < length) {
                let Some(chunk) = answer.next().await else {
                    break;
                };
                let chunk = chunk.ok()?;
                // Guards against memory taken by an answer that is larger than the protocol allows.
                if body.len() + chunk.len() > self.limits.max_body_bytes {
                    return None;
                }
                body.extend_from_slice(&chunk);
            }
            // Guards against half an answer passed on as a whole one: awc ends a body at the end of its
            // connection without an error, however much of it was announced.
            let announced =
                answer.headers().contains_key(CONTENT_LENGTH) || answer.chunked().unwrap_or(true);
            if announced && sending.connection_ended() {
                return None;
            }
            let whole = CompleteResponse {
                status: answer.status(),
                headers: answer.headers().clone(),
                body: body.freeze(),
            };
            if length.is_some() {
                self.reuse_delay.on_response_finished(answer);
            }
            Some(whole)
        };
        write_progress::CURRENT_WRITE
            .scope(Rc::clone(sending), send)
            .await
    }

    fn client_for(&self, server: &Server) -> Client {
        let now = Instant::now();
        self.reuse_delay.release_due(now);
        let mut pools = self.pools.borrow_mut();
        let address = server.address();
        let new = || Pool {
            address,
            client: self.connector.client(),
            used: now,
        };
        let pool = pools.entry(server.id).or_insert_with(new);
        // Guards against connections kept for an address that the job server has left.
        if pool.address != address {
            *pool = new();
        }
        pool.used = now;
        pool.client.clone()
    }

    /// Guards against descriptors held for job servers that are called no more: awc looks at an idle
    /// connection only when it wants one, so what is idle for good goes with its pool.
    pub async fn run_pool_sweeps(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.limits.upstream.idle_reuse_timeout).await;
            self.reuse_delay.release_due(Instant::now());
            let keep = self.limits.upstream.idle_reuse_timeout;
            self.pools
                .borrow_mut()
                .retain(|_, pool| pool.used.elapsed() < keep);
        }
    }
}

/// What an unanswered request is known to have done. Never-ran is claimed only where it is proven.
fn outcome_without_response(sending: &WriteProgress, may_have_run: Outcome) -> Outcome {
    match (sending.is_not_sent(), sending.is_complete()) {
        (true, _) => Outcome::NotSent,
        (false, true) => may_have_run,
        (false, false) => Outcome::ConnectFailed,
    }
}

/// Guards against a panic: what came in as a header goes out as one, or not at all.
fn insert_header(request: &mut ClientRequest, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        request
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
