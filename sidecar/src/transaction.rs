//! The life of one transaction, from its last byte to its final answer, whatever front it came by.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::future::{AbortHandle, Abortable};
use futures_util::stream::FuturesUnordered;
use heronlock::{ClassId, Outcome};
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
    let Some(_claim) = core.claim(&ask.id) else { return Answer::InUse };
    // Guards against a final answer that comes after the terminal has given up, should the module be late.
    let last = ask.arrived + ask.patience.saturating_sub(limits.answer_margin);
    let left = ask.patience.saturating_sub(ask.arrived.elapsed());
    let mut owed = Owed::admit(&core, ask.class, left, ask.cost);
    let mut routed = FuturesUnordered::new();
    let mut calls: Vec<AbortHandle> = Vec::new();
    loop {
        // Steps come first: a final one among them must not lose against an outcome that is as ready.
        tokio::select! {
            biased;
            step = owed.step() => match step {
                Step::Send { server, timeout } => {
                    let attempt = owed.sent(server);
                    let left = (ask.arrived + ask.patience).saturating_duration_since(Instant::now());
                    let wait = timeout.map_or(left, |t| Duration::from_micros(t).min(left));
                    let (call, registration) = AbortHandle::new_pair();
                    calls.push(call);
                    let (upstream, ask) = (Rc::clone(&upstream), Rc::clone(&ask));
                    let task = async move { upstream.route(server, &ask, wait).await };
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
        }
    }
}
