//! The platform's protocol to the terminal, over actix-http.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use actix_http::{ConnectionType, HttpMessage as _, HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::BytesMut;
use futures_util::StreamExt as _;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::line::{Line, Terminal};
use crate::core::Core;
use crate::transaction::{self, Answer, Ask, Content, LABELS};
use crate::upstream::Upstream;

/// The listening side.
pub struct Front {
    core: Rc<Core>,
    upstream: Rc<Upstream>,
    /// Terminal connections that hold a descriptor.
    open: Cell<usize>,
    /// Those that hold a place, which the ones dismissed or turned away do not.
    terminals: RefCell<BTreeMap<u64, Rc<Terminal>>>,
    next: Cell<u64>,
    changed: Notify,
    stopping: Notify,
    closing: Cell<bool>,
}

type Reply = Response<BoxBody>;

/// Why a request is answered with a 4xx and goes no further.
struct Bad(StatusCode, &'static str);

impl Front {
    pub fn new(core: Rc<Core>, upstream: Rc<Upstream>) -> Rc<Self> {
        let (open, terminals, next) = (Cell::new(0), RefCell::default(), Cell::new(0));
        let (changed, stopping, closing) = (Notify::new(), Notify::new(), Cell::new(false));
        Rc::new(Self { core, upstream, open, terminals, next, changed, stopping, closing })
    }

    /// Accepts terminals until [`Front::close`], and then those whom the machine has accepted.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let Ok(service) = self.service().new_service(()).await else { return };
        let service = Rc::new(service);
        let Ok(crowded) = self.turn_away().new_service(()).await else { return };
        let crowded = Rc::new(crowded);
        let limits = Rc::clone(&self.core.limits);
        loop {
            while self.open.get() >= limits.terminals_most {
                // Guards against a crowd at the stop that takes the descriptors of what is still owed.
                if self.closing.get() {
                    return;
                }
                tokio::select! { () = self.changed.notified() => {}, () = self.stopping.notified() => {} }
            }
            // Guards against requests on connections that the machine has accepted and this program has not:
            // the last of them are taken before the listener goes.
            let next = tokio::select! {
                biased;
                next = listener.accept() => next,
                () = self.stopping.notified(), if !self.closing.get() => continue,
                () = tokio::task::yield_now(), if self.closing.get() => return,
            };
            let stream = match next {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    if self.closing.get() {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            let terminal = Terminal::new();
            let full = !self.has_room();
            let place = self.take_place(&terminal, full);
            let (this, service, crowded) = (Rc::clone(&self), Rc::clone(&service), Rc::clone(&crowded));
            actix_rt::spawn(async move {
                let _place = place;
                let served = async {
                    // Guards against memory taken for terminals that say nothing: buffers come with a byte.
                    let _ = stream.readable().await;
                    let _ = stream.set_nodelay(true);
                    let line = Line { stream, terminal: Rc::clone(&terminal) };
                    if full { crowded.call((line, None)).await } else { service.call((line, None)).await }
                };
                // What has come already is served: a place is only taken from a terminal that is silent.
                tokio::select! {
                    biased;
                    end = served => if let Err(DispatchError::Parse(_)) = end {
                        this.core.counters.transactions_malformed.add();
                    },
                    () = terminal.overstayed(&this.core.limits) => this.core.counters.terminals_dismissed.add(),
                }
            });
        }
    }

    /// Guards against silent terminals that fill all places: a new one gets that of the idlest.
    fn has_room(&self) -> bool {
        let mut terminals = self.terminals.borrow_mut();
        if terminals.len() < self.core.limits.terminals {
            return true;
        }
        let idle = terminals.iter().filter_map(|(&number, t)| Some((t.idle()?, number)));
        let idlest = idle.min().map(|(_, number)| number);
        idlest.and_then(|number| terminals.remove(&number)).inspect(|t| t.dismiss()).is_some()
    }

    fn take_place(self: &Rc<Self>, terminal: &Rc<Terminal>, full: bool) -> Place {
        let number = self.next.get();
        self.next.set(number + 1);
        self.open.set(self.open.get() + 1);
        if !full {
            self.terminals.borrow_mut().insert(number, Rc::clone(terminal));
        }
        Place { front: Rc::clone(self), number }
    }

    /// Ends the accepting, closes idle connections and waits until what is owed is answered.
    pub async fn close(&self, accept: JoinHandle<()>) {
        self.closing.set(true);
        self.stopping.notify_one();
        let _ = accept.await;
        self.terminals.borrow().values().filter(|t| t.idle().is_some()).for_each(|t| t.dismiss());
        while self.open.get() > 0 {
            self.changed.notified().await;
        }
    }

    fn service(
        self: &Rc<Self>,
    ) -> impl ServiceFactory<
        (Line, Option<SocketAddr>),
        Config = (),
        Response = (),
        Error = DispatchError,
        InitError = (),
    > + use<> {
        let this = Rc::clone(self);
        HttpService::build()
            // The terminal's own bounds, kept by `Terminal::overstayed`, cover each request, not just the first.
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            // Guards against transactions that run on for a terminal that has left.
            .h1_allow_half_closed(false)
            .on_connect_ext(|line: &Line, data| drop(data.insert(Rc::clone(&line.terminal))))
            .h1(fn_service(move |request: Request| {
                let this = Rc::clone(&this);
                async move {
                    let terminal = request.conn_data::<Rc<Terminal>>().cloned();
                    let terminal = terminal.unwrap_or_else(Terminal::new);
                    let mut reply = this.answer(request, &terminal).await;
                    terminal.answered();
                    if this.closing.get() || terminal.leaving() {
                        reply.head_mut().set_connection_type(ConnectionType::Close);
                    }
                    Ok::<_, Infallible>(reply)
                }
            }))
    }

    /// Guards against a full descriptor table: terminals past the bound are told so at once.
    fn turn_away(
        self: &Rc<Self>,
    ) -> impl ServiceFactory<
        (Line, Option<SocketAddr>),
        Config = (),
        Response = (),
        Error = DispatchError,
        InitError = (),
    > + use<> {
        let core = Rc::clone(&self.core);
        let turn_away = move |_: Request| {
            core.counters.transactions_over_bound.add();
            let mut reply = pause(StatusCode::SERVICE_UNAVAILABLE, core.limits.retry_after);
            reply.head_mut().set_connection_type(ConnectionType::Close);
            async move { Ok::<_, Infallible>(reply) }
        };
        HttpService::build().client_request_timeout(Duration::ZERO).h1(fn_service(turn_away))
    }

    async fn answer(&self, request: Request, terminal: &Terminal) -> Reply {
        match request.path() {
            "/ready" if self.core.ready() => return plain(StatusCode::OK, "ready\n"),
            "/ready" => return plain(StatusCode::SERVICE_UNAVAILABLE, "no job server is known yet\n"),
            "/counters" => return plain(StatusCode::OK, self.core.counters.to_string()),
            _ => {}
        }
        match self.read(request, terminal).await {
            Ok(ask) => {
                terminal.opened();
                let answer = transaction::run(Rc::clone(&self.core), Rc::clone(&self.upstream), ask).await;
                write(answer).unwrap_or_else(|bad| self.reject(bad))
            }
            Err(bad) => self.reject(bad),
        }
    }

    fn reject(&self, Bad(status, why): Bad) -> Reply {
        self.core.counters.transactions_malformed.add();
        let mut reply = plain(status, why);
        // What is left of its body is of no use.
        reply.head_mut().set_connection_type(ConnectionType::Close);
        reply
    }

    /// Reads a request to its last byte and checks it.
    async fn read(&self, mut request: Request, terminal: &Terminal) -> Result<Ask, Bad> {
        let (core, limits) = (&self.core, &self.core.limits);
        let bad = |why| Bad(StatusCode::BAD_REQUEST, why);
        // Guards against requests that pile up behind an open one.
        if !terminal.one_at_a_time() {
            return Err(bad("one request at a time\n"));
        }
        let headers = request.headers();
        let id = token(headers, "x-request-id", limits.token)?;
        let id = id.ok_or_else(|| bad("X-Request-ID is missing\n"))?;
        let key = token(headers, "idempotency-key", limits.token)?;
        let class = token(headers, "x-priority-class", limits.token)?;
        let class = class.and_then(|name| core.class(&name));
        let class = class.ok_or_else(|| bad("X-Priority-Class is not a known class\n"))?;
        // Guards against a refusal for a word about the request: what cannot be read counts as not said.
        let said = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let patience = said("x-timeout").and_then(span).map(|span| span.min(limits.patience));
        if patience.is_none() {
            core.counters.times_skipped.add();
        }
        let patience = patience.unwrap_or_else(|| core.deadline(class));
        let cost = said("x-cost").and_then(cost_of);
        if cost.is_none() && headers.contains_key("x-cost") {
            core.counters.costs_skipped.add();
        }
        if core.keyed(class) && key.is_none() {
            // Without its key no job server could drop a repeat.
            return Err(bad("Idempotency-Key is missing\n"));
        }
        let method = request.method().as_str().to_owned();
        if !["GET", "POST"].contains(&method.as_str()) {
            return Err(Bad(StatusCode::METHOD_NOT_ALLOWED, "the method is not GET or POST\n"));
        }
        // Guards against a target that cannot be written to a job server: each attempt would fail unsent.
        let target = request.uri().path_and_query().map(|t| t.as_str()).filter(|t| t.starts_with('/'));
        let target = target.ok_or_else(|| bad("the target is not a path\n"))?.to_owned();
        if target.len() > limits.target {
            return Err(Bad(StatusCode::URI_TOO_LONG, "the target is too long\n"));
        }
        // Guards against reading what is to be refused.
        let length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        if length.is_some_and(|length| length > limits.body as u64) {
            return Err(Bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"));
        }
        let label = |name: &'static str| Some((name, headers.get(name)?.to_str().ok()?.to_owned()));
        let labels = LABELS.into_iter().filter_map(label).collect();
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| bad("the body cannot be read\n"))?;
            if body.len() + chunk.len() > limits.body {
                return Err(Bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"));
            }
            body.extend_from_slice(&chunk);
        }
        let body = body.freeze();
        let content = Content { body, labels };
        Ok(Ask { method, target, id, key, class, content, arrived: Instant::now(), patience, cost })
    }
}

/// One open terminal connection.
struct Place {
    front: Rc<Front>,
    number: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.front.terminals.borrow_mut().remove(&self.number);
        self.front.open.set(self.front.open.get() - 1);
        self.front.changed.notify_waiters();
    }
}

fn token(headers: &HeaderMap, name: &str, most: usize) -> Result<Option<String>, Bad> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= most => Ok(Some(text.to_owned())),
        _ => Err(Bad(StatusCode::BAD_REQUEST, "a header cannot be read\n")),
    }
}

/// A number and a unit: `480m` are milliseconds, `480000u` microseconds.
fn span(text: &str) -> Option<Duration> {
    let micros = match text.strip_suffix('u') {
        Some(number) => number.parse::<f64>().ok()?,
        None => text.strip_suffix('m')?.parse::<f64>().ok()? * 1_000.0,
    };
    (micros.is_finite() && micros >= 0.0).then(|| Duration::from_micros(micros as u64))
}

/// Whole or broken microseconds, more than none and no more than a minute: what is beyond that is no estimate of a
/// request that is answered in seconds, and counts as absent.
fn cost_of(text: &str) -> Option<Duration> {
    let micros = text.trim().parse::<f64>().ok()?;
    (1.0..=6e7).contains(&micros).then(|| Duration::from_micros(micros as u64))
}

fn plain(status: StatusCode, text: impl Into<String>) -> Reply {
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain"))
        .body(text.into())
        .map_into_boxed_body()
}

/// An answer that names the time to come back at. The status alone tells whether a repeat is harmless.
fn pause(status: StatusCode, retry_after: Duration) -> Reply {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    Response::build(status).insert_header((RETRY_AFTER, seconds)).finish().map_into_boxed_body()
}

fn write(answer: Answer) -> Result<Reply, Bad> {
    match answer {
        Answer::Served(Content { body, labels }) => {
            let mut reply = Response::build(StatusCode::OK);
            for label in labels {
                reply.insert_header(label);
            }
            Ok(reply.body(body).map_into_boxed_body())
        }
        Answer::ShortOnCapacity { retry_after } => Ok(pause(StatusCode::SERVICE_UNAVAILABLE, retry_after)),
        Answer::Failed { retry_after } => Ok(pause(StatusCode::GATEWAY_TIMEOUT, retry_after)),
        Answer::InUse => Err(Bad(StatusCode::CONFLICT, "a transaction of that id is open\n")),
    }
}
