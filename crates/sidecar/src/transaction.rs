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

use crate::core::{Core, Owed, Step};
use crate::upstream::Upstream;

/// What a body's labels are called: they go with it unchanged, both ways.
pub const LABELS: [&str; 3] = ["content-type", "content-encoding", "content-language"];

/// A body and its labels.
pub struct Content {
    pub body: Bytes,
    pub labels: Vec<(&'static str, String)>,
}

/// A request, as any front hands it over.
pub struct Ask {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub id: String,
    pub key: Option<String>,
    pub class: ClassId,
    pub content: Content,
    /// When its last byte came.
    pub arrived: Instant,
    /// How long the terminal waits from then.
    pub patience: Duration,
    /// Its work on a usual job server, where the terminal can tell.
    pub cost: Option<Duration>,
    pub presence: Presence,
}

/// Whether the client of a request is still there: its front says so, and what would send the request on asks.
#[derive(Clone, Default)]
pub struct Presence(Rc<Cell<bool>>);

impl Presence {
    pub fn leave(&self) {
        self.0.set(true);
    }

    pub fn left(&self) -> bool {
        self.0.get()
    }
}

/// The one final answer.
pub enum Answer {
    /// A job server's body, whole and unchanged.
    Served(Content),
    /// Trying again is harmless, after a pause.
    ShortOnCapacity { retry_after: Duration },
    /// It may have taken effect.
    Failed { retry_after: Duration },
    /// Another transaction of that id is open; nothing was done.
    InUse,
}

/// Runs a transaction. Dropped early, when its terminal has left, it calls off what is out.
pub async fn run(core: Rc<Core>, upstream: Rc<Upstream>, ask: Ask) -> Answer {
    let limits = Rc::clone(&core.limits);
    let counters = Rc::clone(&core.counters);
    let ask = Rc::new(ask);
    let Some(_claim) = core.claim(&ask.id) else {
        return Answer::InUse;
    };
    // Guards against a final answer that comes after the terminal has given up, should the module be late.
    let last = ask.arrived + ask.patience.saturating_sub(limits.answer_margin);
    let mut ending = core.ending();
    // Guards against work begun for a client that has left, or that the end of the program would cut short.
    if ask.presence.left() || *ending.borrow() {
        return Answer::ShortOnCapacity {
            retry_after: limits.retry_after,
        };
    }
    let left = ask.patience.saturating_sub(ask.arrived.elapsed());
    let mut owed = Owed::admit(&core, ask.class, left, ask.cost);
    let mut routed = FuturesUnordered::new();
    let mut calls: Vec<AbortHandle> = Vec::new();
    let mut repeats = Repeats::new(core.window(ask.class), limits.window_margin);
    loop {
        // Steps come first: a final one among them must not lose against an outcome that is as ready.
        tokio::select! {
            biased;
            step = owed.step() => match step {
                Step::Send { server, timeout } => {
                    let attempt = owed.sent(server);
                    let begins = repeats.begins_by(Instant::now());
                    let left = (ask.arrived + ask.patience).saturating_duration_since(Instant::now());
                    let wait = timeout.map_or(left, |t| Duration::from_micros(t).min(left));
                    let (call, registration) = AbortHandle::new_pair();
                    calls.push(call);
                    let (upstream, ask) = (Rc::clone(&upstream), Rc::clone(&ask));
                    let task = async move { upstream.route(server, &ask, wait, begins).await };
                    routed.push(async move { (attempt, Abortable::new(task, registration).await) });
                }
                Step::Cancel { attempt } => {
                    calls.get(attempt as usize).inspect(|call| call.abort());
                }
                Step::Refuse { retry_after } => {
                    counters.answered_short_on_capacity.add();
                    let pause = retry_after.map_or(limits.retry_after, Duration::from_micros);
                    return Answer::ShortOnCapacity { retry_after: pause };
                }
                Step::Fail => {
                    counters.answered_failed.add();
                    return Answer::Failed { retry_after: limits.retry_after };
                }
            },
            Some((attempt, end)) = routed.next() => match end {
                Ok(end) => {
                    repeats.ended(attempt, end.outcome);
                    owed.ended(attempt, end.outcome, end.report);
                    if let Some(content) = end.answer {
                        counters.answered_served.add();
                        return Answer::Served(content);
                    }
                }
                Err(_) => owed.ended(attempt, Outcome::Cancelled, None),
            },
            () = tokio::time::sleep_until(last) => {
                owed.overdue();
                return Answer::Failed { retry_after: limits.retry_after };
            }
            // Guards against an answer that the end of the program would cut off: it is given while there is time.
            _ = ending.wait_for(|ending| *ending) => {
                owed.overdue();
                return Answer::Failed { retry_after: limits.retry_after };
            }
        }
    }
}

/// Until when repeats of a keyed request are dropped by job servers: from the first attempt that may have run.
struct Repeats {
    window: Option<Duration>,
    margin: Duration,
    /// When each attempt was sent; nothing once it is known never to have run.
    sent: Vec<Option<Instant>>,
}

impl Repeats {
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
