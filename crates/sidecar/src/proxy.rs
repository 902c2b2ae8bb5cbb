//! The life of one transaction, from its last byte to its final answer, whatever front it came by.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{ClassId, Outcome};
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::future::{AbortHandle, Abortable};
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::host::{BalancerHost, InFlightRequest, RequestAction};
use crate::upstream::Upstream;

/// What a body's labels are called: they go with it unchanged, both ways.
pub const FORWARDED_HEADERS: [&str; 3] = ["content-type", "content-encoding", "content-language"];

/// A body and its labels.
pub struct Payload {
    pub body: Bytes,
    pub headers: Vec<(&'static str, String)>,
}

/// A request, as any front hands it over.
pub struct ProxyRequest {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub id: String,
    pub idempotency_key: Option<String>,
    pub class: ClassId,
    pub payload: Payload,
    /// When its last byte came.
    pub arrived: Instant,
    /// How long the terminal waits from then.
    pub client_timeout: Duration,
    /// Its work on a usual job server, where the terminal can tell.
    pub work_hint: Option<Duration>,
    pub presence: ClientPresence,
}

/// Whether the client of a request is still there: its front says so, and what would send the request on asks.
#[derive(Clone, Default)]
pub struct ClientPresence(Rc<Cell<bool>>);

impl ClientPresence {
    pub fn mark_disconnected(&self) {
        self.0.set(true);
    }

    pub fn is_disconnected(&self) -> bool {
        self.0.get()
    }
}

/// The one final answer.
pub enum ProxyResponse {
    /// A job server's body, whole and unchanged.
    Served(Payload),
    /// Trying again is harmless, after a pause.
    Rejected { retry_after: Duration },
    /// It may have taken effect.
    Failed { retry_after: Duration },
    /// Another transaction of that id is open; nothing was done.
    DuplicateId,
}

/// Runs a transaction. Dropped early, when its terminal has left, it calls off what is out.
pub async fn run(
    host: Rc<BalancerHost>,
    upstream: Rc<Upstream>,
    ask: ProxyRequest,
) -> ProxyResponse {
    let limits = Rc::clone(&host.limits);
    let counters = Rc::clone(&host.counters);
    let ask = Rc::new(ask);
    let Some(_claim) = host.reserve_request_id(&ask.id) else {
        return ProxyResponse::DuplicateId;
    };
    // Guards against a final answer that comes after the terminal has given up, should the module be late.
    let last = ask.arrived
        + ask
            .client_timeout
            .saturating_sub(limits.client.response_margin);
    let mut ending = host.forced_shutdown();
    // Guards against work begun for a client that has left, or that the end of the program would cut short.
    if ask.presence.is_disconnected() || *ending.borrow() {
        return ProxyResponse::Rejected {
            retry_after: limits.default_retry_after,
        };
    }
    let left = ask.client_timeout.saturating_sub(ask.arrived.elapsed());
    let mut owed = InFlightRequest::admit(&host, ask.class, left, ask.work_hint);
    let mut routed = FuturesUnordered::new();
    let mut calls: Vec<AbortHandle> = Vec::new();
    let mut repeats = RetryWindow::new(
        host.deduplication_window(ask.class),
        limits.upstream.deduplication_margin,
    );
    loop {
        // Steps come first: a final one among them must not lose against an outcome that is as ready.
        tokio::select! {
            biased;
            step = owed.next_action() => match step {
                RequestAction::Send { server, timeout } => {
                    let attempt = owed.on_attempt_started(server);
                    let begins = repeats.begins_by(Instant::now());
                    let left = (ask.arrived + ask.client_timeout).saturating_duration_since(Instant::now());
                    let wait = timeout.map_or(left, |t| Duration::from_micros(t).min(left));
                    let (call, registration) = AbortHandle::new_pair();
                    calls.push(call);
                    let (upstream, ask) = (Rc::clone(&upstream), Rc::clone(&ask));
                    let task = async move { upstream.forward(server, &ask, wait, begins).await };
                    routed.push(async move { (attempt, Abortable::new(task, registration).await) });
                }
                RequestAction::Cancel { attempt } => {
                    calls.get(attempt as usize).inspect(|call| call.abort());
                }
                RequestAction::Reject { retry_after } => {
                    counters.responses_rejected.add();
                    let pause = retry_after.map_or(limits.default_retry_after, Duration::from_micros);
                    return ProxyResponse::Rejected { retry_after: pause };
                }
                RequestAction::Fail => {
                    counters.responses_failed.add();
                    return ProxyResponse::Failed { retry_after: limits.default_retry_after };
                }
            },
            Some((attempt, end)) = routed.next() => match end {
                Ok(end) => {
                    repeats.ended(attempt, end.outcome);
                    owed.on_attempt_ended(attempt, end.outcome, end.load_report);
                    if let Some(content) = end.payload {
                        counters.responses_served.add();
                        return ProxyResponse::Served(content);
                    }
                }
                Err(_) => owed.on_attempt_ended(attempt, Outcome::Cancelled, None),
            },
            () = tokio::time::sleep_until(last) => {
                owed.on_overdue();
                return ProxyResponse::Failed { retry_after: limits.default_retry_after };
            }
            // Guards against an answer that the end of the program would cut off: it is given while there is time.
            _ = ending.wait_for(|ending| *ending) => {
                owed.on_overdue();
                return ProxyResponse::Failed { retry_after: limits.default_retry_after };
            }
        }
    }
}

/// Until when repeats of a keyed request are dropped by job servers: from the first attempt that may have run.
struct RetryWindow {
    window: Option<Duration>,
    margin: Duration,
    /// When each attempt was sent; nothing once it is known never to have run.
    sent: Vec<Option<Instant>>,
}

impl RetryWindow {
    fn new(window: Option<Duration>, margin: Duration) -> Self {
        Self {
            window,
            margin,
            sent: Vec::new(),
        }
    }

    /// Counts an attempt that is sent now; tells until when its first byte may go out, where that is bounded.
    fn begins_by(&mut self, now: Instant) -> Option<Instant> {
        let first = self.sent.iter().flatten().next().copied();
        self.sent.push(Some(now));
        Some(first? + self.window?.saturating_sub(self.margin))
    }

    fn ended(&mut self, attempt: u32, outcome: Outcome) {
        if let Some(sent) = self
            .sent
            .get_mut(attempt as usize)
            .filter(|_| outcome.never_executed())
        {
            *sent = None;
        }
    }
}
