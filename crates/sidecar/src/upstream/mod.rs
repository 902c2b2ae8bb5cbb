//! Calls to job servers: routed tasks and probes, the connections they use, and what their ends mean.

mod answer;
pub mod gate;
mod report;
mod resting;
mod sending;
mod socket;
mod sockets;

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

use crate::core::{Core, JobServer};
use crate::counters::Counters;
use crate::limits::Limits;
use crate::transaction::{Ask, Content, LABELS};
use report::read_report;
use resting::Resting;
use sending::{Gate, Sending};
use sockets::Sockets;

/// How a routed task ended; the answer is there if it was served.
pub struct End {
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    pub answer: Option<Content>,
}

impl End {
    fn bare(outcome: Outcome) -> Self {
        Self {
            outcome,
            report: None,
            answer: None,
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
    core: Rc<Core>,
    pools: RefCell<BTreeMap<ServerId, Pool>>,
    sockets: Rc<Sockets>,
    resting: Resting,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

/// An answer read to its end.
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Upstream {
    pub fn new(core: &Rc<Core>) -> Rc<Self> {
        let (limits, counters) = (Rc::clone(&core.limits), Rc::clone(&core.counters));
        let sockets = Sockets::new(Rc::clone(&limits), Rc::clone(&counters));
        let resting = Resting::new(limits.rest);
        Rc::new(Self {
            core: Rc::clone(core),
            pools: RefCell::default(),
            sockets,
            resting,
            limits,
            counters,
        })
    }

    /// Sends a transaction's request to a job server once, and waits for the answer.
    pub async fn route(
        &self,
        server: ServerId,
        ask: &Ask,
        wait: Duration,
        begins_by: Option<Instant>,
    ) -> End {
        let Some(server) = self.core.job_server(server) else {
            return End::bare(Outcome::NotSent);
        };
        self.counters.routed_tasks_sent.add();
        let uri = format!("http://{}{}", server.address(), ask.target);
        let Ok(method) = ask.method.parse() else {
            return End::bare(Outcome::NotSent);
        };
        let mut request = self.client(&server).request(method, uri);
        put(&mut request, "x-request-id", &ask.id);
        put(&mut request, "x-timeout", &format!("{}u", wait.as_micros()));
        if let Some(key) = &ask.key {
            put(&mut request, "idempotency-key", key);
        }
        for (name, value) in &ask.content.labels {
            put(&mut request, name, value);
        }
        let gate = Gate {
            core: Rc::clone(&self.core),
            server: Rc::clone(&server),
            address: server.address(),
            presence: ask.presence.clone(),
            until: Instant::now() + wait,
            begins_by,
        };
        let sending = Sending::new(Some(gate), ask.content.body.len());
        let whole = self.call(request, ask.content.body.clone(), &sending);
        let Ok(whole) = timeout(wait, whole).await else {
            // A request that was never written whole cannot have been started.
            return End::bare(unanswered(&sending, Outcome::TimedOut));
        };
        let Some(whole) = whole else {
            // awc reports a connection that ended before an answer as one that never came up, and reads
            // a break before and after the last byte alike. Only what the socket took counts here.
            return End::bare(unanswered(&sending, Outcome::Reset));
        };
        let text = |name: &str| whole.headers.get(name).and_then(|v| v.to_str().ok());
        let report = text("x-server-load").and_then(read_report);
        let unprocessed = text("x-not-processed") == Some("1");
        match whole.status {
            StatusCode::OK => {
                sending
                    .begun()
                    .inspect(|&begun| server.has_served(self.core.at(begun)));
                let labels = LABELS
                    .into_iter()
                    .filter_map(|name| Some((name, text(name)?.to_owned())))
                    .collect();
                End {
                    outcome: Outcome::Served,
                    report,
                    answer: Some(Content {
                        body: whole.body,
                        labels,
                    }),
                }
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => End {
                report,
                ..End::bare(Outcome::Rejected)
            },
            // An answer that does not prove the contrary may have run.
            _ => End {
                report,
                ..End::bare(Outcome::ServerError)
            },
        }
    }

    /// Asks a job server for its load.
    async fn probe(&self, server: &Rc<JobServer>) -> (Outcome, Option<LoadReport>) {
        let uri = format!("http://{}/status/load", server.address());
        let request = self.client(server).get(uri);
        // A probe is no work: it may go to a job server that drains.
        let sending = Sending::new(None, 0);
        let call = self.call(request, Bytes::new(), &sending);
        match timeout(self.limits.probe, call).await {
            Ok(Some(whole)) => {
                let text = std::str::from_utf8(&whole.body).unwrap_or_default();
                let report = read_report(text);
                if report.is_none() && !text.trim().is_empty() {
                    self.counters.reports_skipped.add();
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
            Ok(None) => (unanswered(&sending, Outcome::Reset), None),
            Err(_) => (Outcome::TimedOut, None),
        }
    }

    /// Carries out the probes that the module asks for.
    pub async fn run_probes(self: Rc<Self>, mut wanted: mpsc::Receiver<ServerId>) {
        while let Some(id) = wanted.recv().await {
            let Some(server) = self.core.job_server(id) else {
                // Each probe that is asked for is owed its end.
                self.core.tell(Event::HealthCheckEnded {
                    server: id,
                    outcome: Outcome::NotSent,
                    load_report: None,
                });
                continue;
            };
            let this = Rc::clone(&self);
            self.counters.probes_sent.add();
            actix_rt::spawn(async move {
                let (outcome, report) = this.probe(&server).await;
                if outcome != Outcome::Served {
                    this.counters.probes_failed.add();
                }
                this.core.tell(Event::HealthCheckEnded {
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
        sending: &Rc<Sending>,
    ) -> Option<Whole> {
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
                if body.len() + chunk.len() > self.limits.body {
                    return None;
                }
                body.extend_from_slice(&chunk);
            }
            // Guards against half an answer passed on as a whole one: awc ends a body at the end of its
            // connection without an error, however much of it was announced.
            let announced =
                answer.headers().contains_key(CONTENT_LENGTH) || answer.chunked().unwrap_or(true);
            if announced && sending.cut() {
                return None;
            }
            let whole = Whole {
                status: answer.status(),
                headers: answer.headers().clone(),
                body: body.freeze(),
            };
            if length.is_some() {
                self.resting.hold(answer);
            }
            Some(whole)
        };
        sending::SENDING.scope(Rc::clone(sending), send).await
    }

    fn client(&self, server: &JobServer) -> Client {
        let now = Instant::now();
        self.resting.release(now);
        let mut pools = self.pools.borrow_mut();
        let address = server.address();
        let new = || Pool {
            address,
            client: self.sockets.client(),
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
    pub async fn run_sweeps(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.limits.idle_reuse).await;
            self.resting.release(Instant::now());
            let keep = self.limits.idle_reuse;
            self.pools
                .borrow_mut()
                .retain(|_, pool| pool.used.elapsed() < keep);
        }
    }
}

/// What an unanswered request is known to have done. Never-ran is claimed only where it is proven.
fn unanswered(sending: &Sending, may_have_run: Outcome) -> Outcome {
    match (sending.held_back(), sending.whole()) {
        (true, _) => Outcome::NotSent,
        (false, true) => may_have_run,
        (false, false) => Outcome::ConnectFailed,
    }
}

/// Guards against a panic: what came in as a header goes out as one, or not at all.
fn put(request: &mut ClientRequest, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        request
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
