//! The auditor: reads the record of either engine for the four rules, and for refusals of what had run.
//!
//! It judges by what job servers and terminals saw, never by what a sidecar believes.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt;

use serde::Serialize;

use rustc_hash::FxHashMap;

use crate::event_log::{
    EventLog, ListedStatus, LogEvent, LogRecord, ProcessState, RequestOutcome, ServerState,
};
use crate::scenario::{Class, DeduplicationGroup, Effect, Micros, Scenario, from_ms};
use crate::server_model::budget;

/// How long a finished transaction is remembered beyond its deadline, to catch what comes after it.
const REMEMBER: Micros = 12_000_000;
/// Broken rules that are listed; further ones are counted.
const LISTED: usize = 50;
/// Share of the work on a fallen server that must have come from sidecars told of its start.
const TOLD: f64 = 2.0 / 3.0;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// One whole final answer for each taken transaction, in time.
    OneAnswer,
    /// Nothing that may have run goes out again unless its class allows it.
    NoSecondRun,
    /// Nothing new to a job server that was told to drain or be gone.
    DrainKept,
    /// No cold job server pushed over.
    ColdSpared,
    /// No refusal of what may have run, where a repeat is not harmless.
    HonestRefusal,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OneAnswer => "one final answer",
            Self::NoSecondRun => "no second run outside its class",
            Self::DrainKept => "nothing new after a drain",
            Self::ColdSpared => "no cold job server pushed over",
            Self::HonestRefusal => "no refusal of what may have run",
        })
    }
}

/// One breach, with what is needed to find it in the record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    pub at: Micros,
    pub rule: Rule,
    pub tx: Option<u64>,
    pub server: Option<u32>,
    pub why: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {:.3} s, ", self.at as f64 / 1e6)?;
        if let Some(tx) = self.tx {
            write!(f, "transaction {tx:016x}, ")?;
        }
        if let Some(server) = self.server {
            write!(f, "job server s{server}, ")?;
        }
        write!(f, "rule '{}': {}", self.rule, self.why)
    }
}

struct Arrival {
    at: Micros,
    server: u32,
    turned_away: bool,
}

struct Open {
    sidecar: u32,
    class: u16,
    taken: Micros,
    due: Micros,
    arrivals: Vec<Arrival>,
    answer: Option<RequestOutcome>,
    left: bool,
}

#[derive(Default)]
struct Site {
    zone: u32,
    started: Option<Micros>,
    sent: VecDeque<(Micros, f64, bool)>,
    pushed: bool,
}

/// How a job server stands at a sidecar.
#[derive(Default)]
struct Told {
    out: Option<Micros>,
    launched: Micros,
}

/// Reads the record; its findings are in `breaches`.
pub struct Auditor {
    classes: Vec<Class>,
    drain: Micros,
    grace: Micros,
    fall: (f64, Micros),
    open: FxHashMap<u64, Open>,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    forget: VecDeque<(Micros, u64)>,
    sites: FxHashMap<u32, Site>,
    /// By sidecar and job server.
    told: FxHashMap<u32, FxHashMap<u32, Told>>,
    /// When a sidecar was last killed.
    killed: FxHashMap<u32, Micros>,
    /// The first ones, in the order found.
    pub breaches: Vec<Violation>,
    /// All of them.
    pub count: u64,
    /// Transactions read.
    pub transactions: u64,
}

impl Auditor {
    /// For a day; `extra` is what the engine allows on every time limit.
    pub fn new(day: &Scenario, extra: Micros) -> Self {
        Self {
            classes: day.class.clone(),
            drain: from_ms(day.rules.drain_grace_ms) + extra,
            grace: from_ms(day.rules.response_grace_ms) + extra,
            fall: (
                day.rules.cold_overload_factor,
                from_ms(day.rules.cold_overload_window_ms),
            ),
            open: FxHashMap::default(),
            due: BinaryHeap::new(),
            forget: VecDeque::new(),
            sites: FxHashMap::default(),
            told: FxHashMap::default(),
            killed: FxHashMap::default(),
            breaches: Vec::new(),
            count: 0,
            transactions: 0,
        }
    }

    fn breach(
        &mut self,
        at: Micros,
        rule: Rule,
        tx: Option<u64>,
        server: Option<u32>,
        why: String,
    ) {
        self.count += 1;
        if self.breaches.len() < LISTED {
            self.breaches.push(Violation {
                at,
                rule,
                tx,
                server,
                why,
            });
        }
    }

    /// Looks at what was never answered. To be called once the record has ended.
    pub fn finish(&mut self) {
        self.pass(Micros::MAX);
    }

    fn pass(&mut self, now: Micros) {
        while let Some(&Reverse((due, tx))) = self.due.peek().filter(|Reverse((due, _))| *due < now)
        {
            self.due.pop();
            let late = self
                .open
                .get(&tx)
                .is_some_and(|o| o.answer.is_none() && !self.excused(o));
            if late {
                self.breach(
                    due,
                    Rule::OneAnswer,
                    Some(tx),
                    None,
                    "no answer in time".into(),
                );
            }
        }
        while self.forget.front().is_some_and(|(at, _)| *at < now) {
            if let Some((_, tx)) = self.forget.pop_front() {
                self.open.remove(&tx);
            }
        }
    }

    /// True for what a terminal has left, or a killed sidecar held.
    fn excused(&self, open: &Open) -> bool {
        open.left
            || self
                .killed
                .get(&open.sidecar)
                .is_some_and(|&at| at >= open.taken)
    }

    fn arrived(&mut self, at: Micros, tx: u64, server: u32) {
        let zone = |sites: &FxHashMap<u32, Site>, id: u32| sites.get(&id).map_or(0, |s| s.zone);
        let here = zone(&self.sites, server);
        let Some(open) = self.open.get_mut(&tx) else {
            return;
        };
        let Some(class) = self.classes.get(usize::from(open.class)) else {
            return;
        };
        let first = open.arrivals.iter().find(|a| !a.turned_away);
        let why = first.and_then(
            |first| match (class.idempotency, class.deduplication_scope) {
                (Effect::Safe, _) => None,
                (Effect::Unsafe, _) => Some(format!(
                    "it had arrived at s{} and may have run",
                    first.server
                )),
                (Effect::Keyed, group) => {
                    let there = zone(&self.sites, first.server);
                    if group == DeduplicationGroup::Zone && here != there {
                        Some(format!(
                            "its key is known at s{} in another zone",
                            first.server
                        ))
                    } else if at > first.at + from_ms(class.deduplication_window_ms) {
                        Some(format!(
                            "its key at s{} was forgotten by then",
                            first.server
                        ))
                    } else {
                        None
                    }
                }
            },
        );
        let harmless = class.idempotency == Effect::Safe;
        let refused = open.answer == Some(RequestOutcome::Rejected) && !harmless;
        open.arrivals.push(Arrival {
            at,
            server,
            turned_away: false,
        });
        if let Some(why) = why {
            self.breach(at, Rule::NoSecondRun, Some(tx), Some(server), why);
        }
        if refused {
            let why = "it arrived after its refusal".into();
            self.breach(at, Rule::HonestRefusal, Some(tx), Some(server), why);
        }
    }

    fn pressed(&mut self, at: Micros, tx: u64, server: u32, work: f64, capacity: f64, cold: bool) {
        let sidecar = self.open.get(&tx).map(|o| o.sidecar);
        let site = self.sites.entry(server).or_default();
        if !cold {
            site.sent.clear();
            site.pushed = false;
            return;
        }
        let started = site.started.unwrap_or(0);
        let told = sidecar.and_then(|s| self.told.get(&s)?.get(&server));
        let knows = told.is_some_and(|t| t.launched >= started);
        let (multiple, span) = self.fall;
        site.sent.push_back((at, work, knows));
        while site
            .sent
            .front()
            .is_some_and(|(sent, ..)| *sent + span <= at)
        {
            site.sent.pop_front();
        }
        let sum = |told: bool| {
            site.sent
                .iter()
                .filter(|s| s.2 || !told)
                .map(|s| s.1)
                .sum::<f64>()
        };
        let (all, told, most) = (
            sum(false),
            sum(true),
            budget(multiple, capacity, span, work),
        );
        if all > most && told >= TOLD * all && !site.pushed {
            site.pushed = true;
            let why = format!(
                "{:.0} ms of work in its span, of {:.0} ms",
                all / 1e3,
                most / 1e3
            );
            self.breach(at, Rule::ColdSpared, Some(tx), Some(server), why);
        }
    }

    fn answered(&mut self, at: Micros, tx: u64, how: RequestOutcome) {
        let grace = self.grace;
        let excused = self.open.get(&tx).is_some_and(|o| self.excused(o));
        let Some(open) = self.open.get_mut(&tx) else {
            return;
        };
        let second = open.answer.replace(how).is_some();
        let late = at > open.due + grace;
        let ran = open.arrivals.iter().any(|a| !a.turned_away);
        let class = self.classes.get(usize::from(open.class));
        let harmful = class.is_some_and(|c| match c.idempotency {
            Effect::Safe => false,
            Effect::Unsafe => true,
            Effect::Keyed => c.deduplication_scope != DeduplicationGroup::All,
        });
        let one = |why: &str| (Rule::OneAnswer, why.to_owned());
        let mut found = Vec::new();
        if second {
            found.push(one("a second final answer"));
        }
        match how {
            RequestOutcome::Mismatched => {
                found.push(one("an answer that no job server made for it"))
            }
            RequestOutcome::ConnectionLost | RequestOutcome::Unanswered if excused => {}
            RequestOutcome::ConnectionLost => {
                found.push(one("the sidecar closed on it without an answer"))
            }
            RequestOutcome::Unanswered => found.push(one("no answer in time")),
            _ if late => found.push(one("the answer came too late")),
            _ => {}
        }
        if how == RequestOutcome::Rejected && ran && harmful {
            found.push((Rule::HonestRefusal, "it may have run".into()));
        }
        for (rule, why) in found {
            self.breach(at, rule, Some(tx), None, why);
        }
    }

    fn began(&mut self, at: Micros, tx: u64, sidecar: u32, server: u32) {
        let told = self.told.get(&sidecar).and_then(|t| t.get(&server)?.out);
        if let Some(out) = told.filter(|out| at > out + self.drain) {
            let why = format!("told to be out {:.3} s before", (at - out) as f64 / 1e6);
            self.breach(at, Rule::DrainKept, Some(tx), Some(server), why);
        }
    }
}

impl EventLog for Auditor {
    fn note(&mut self, line: &LogRecord) {
        let at = line.at;
        self.pass(at);
        match line.event {
            LogEvent::RequestAccepted {
                request: tx,
                sidecar,
                class,
                due,
                ..
            } => {
                self.transactions += 1;
                let (arrivals, answer, left) = (Vec::new(), None, false);
                let open = Open {
                    sidecar,
                    class,
                    taken: at,
                    due,
                    arrivals,
                    answer,
                    left,
                };
                self.open.insert(tx, open);
                self.due.push(Reverse((due + self.grace, tx)));
                self.forget.push_back((due + REMEMBER, tx));
            }
            LogEvent::AttemptStarted {
                request: tx,
                sidecar,
                server,
                ..
            } => self.began(at, tx, sidecar, server),
            LogEvent::AttemptReceived {
                request: tx,
                server,
                work,
                capacity,
                cold,
            } => {
                self.arrived(at, tx, server);
                self.pressed(at, tx, server, work, capacity, cold);
            }
            LogEvent::AttemptRejected {
                request: tx,
                server,
            } => {
                let arrivals = self.open.get_mut(&tx).map(|o| &mut o.arrivals);
                let last = arrivals.and_then(|a| a.iter_mut().rev().find(|a| a.server == server));
                if let Some(arrival) = last {
                    arrival.turned_away = true;
                }
            }
            LogEvent::ResponseReceived {
                request: tx,
                outcome: how,
            } => self.answered(at, tx, how),
            LogEvent::ClientDisconnected { request: tx } => {
                if let Some(open) = self.open.get_mut(&tx) {
                    open.left = true;
                }
            }
            LogEvent::EndpointListed {
                sidecar,
                server,
                status: listing,
                incarnation: launched,
            } => {
                let told = self
                    .told
                    .entry(sidecar)
                    .or_default()
                    .entry(server)
                    .or_default();
                told.launched = told.launched.max(launched);
                told.out = if listing == ListedStatus::Ready {
                    None
                } else {
                    told.out.or(Some(at))
                };
            }
            LogEvent::SidecarStateChanged {
                sidecar,
                state: life,
            } if life != ProcessState::Ending => {
                self.told.remove(&sidecar);
                if life == ProcessState::Killed {
                    self.killed.insert(sidecar, at);
                }
            }
            LogEvent::ServerStateChanged {
                server,
                zone,
                state: fate,
            } => {
                let site = self.sites.entry(server).or_default();
                site.zone = zone;
                if fate == ServerState::Cold {
                    site.started = Some(at);
                    site.sent.clear();
                    site.pushed = false;
                }
            }
            _ => {}
        }
    }
}
