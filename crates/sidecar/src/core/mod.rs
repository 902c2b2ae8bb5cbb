//! The one balancer, its clock and timers, the interning of job servers, and the routing of its actions
//! to whoever waits for them. Nothing here knows of HTTP.

mod directory;
mod owed;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arrowstand_balancer::{
    Action, ClassId, Event, Micros, Outcome, RequestId, ServerId, UpdateKind,
};
use arrowstand_control::Informed;
use arrowstand_control::freshness::Freshness;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use directory::Directory;
pub use directory::JobServer;
pub use owed::{Owed, Step};

use crate::config::Names;
use crate::counters::Counters;
use crate::discovery::EndpointList;
use crate::limits::Limits;

/// Everything that decides. One of them runs on one thread.
pub struct Core {
    balancer: RefCell<Informed>,
    directory: RefCell<Directory>,
    waiting: RefCell<BTreeMap<RequestId, mpsc::Sender<Step>>>,
    /// What the terminals call the transactions that are open.
    open: RefCell<HashSet<Rc<str>>>,
    timers: RefCell<BinaryHeap<Reverse<(Micros, u64)>>>,
    timer_set: Notify,
    list_wanted: Notify,
    probes: mpsc::Sender<ServerId>,
    next_request: Cell<u64>,
    /// How long the list may be trusted.
    freshness: Cell<Freshness>,
    ending: watch::Sender<bool>,
    start: Instant,
    epoch: Micros,
    names: Names,
    pub limits: Rc<Limits>,
    pub counters: Rc<Counters>,
}

impl Core {
    /// The core, and the job servers to probe as the module asks for them.
    pub fn new(
        balancer: Informed,
        names: Names,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> (Rc<Self>, mpsc::Receiver<ServerId>) {
        // The module has at most one probe out for each job server.
        let (probes, wanted) = mpsc::channel(limits.upstream);
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let core = Self {
            balancer: RefCell::new(balancer),
            directory: RefCell::new(Directory::new(names.zones.clone(), names.machines.clone())),
            waiting: RefCell::default(),
            open: RefCell::default(),
            timers: RefCell::default(),
            timer_set: Notify::new(),
            list_wanted: Notify::new(),
            probes,
            next_request: Cell::new(0),
            freshness: Cell::new(Freshness::new(limits.list, unix.as_micros() as Micros)),
            ending: watch::Sender::new(false),
            start: Instant::now(),
            epoch: unix.as_micros() as Micros,
            names,
            limits,
            counters,
        };
        (Rc::new(core), wanted)
    }

    /// The module's clock: Unix time at the start, and steady from there, so that start times in the
    /// list stand on it and no step of the wall clock moves a timer.
    pub fn now(&self) -> Micros {
        self.epoch + self.start.elapsed().as_micros() as Micros
    }

    /// What the module's clock showed then.
    pub fn at(&self, instant: Instant) -> Micros {
        self.now()
            .saturating_sub(instant.elapsed().as_micros() as Micros)
    }

    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.names
            .classes
            .iter()
            .position(|c| c == name)
            .map(|i| ClassId(i as u16))
    }

    /// True for a class whose repeats are told by a key.
    pub fn keyed(&self, class: ClassId) -> bool {
        self.names
            .keyed
            .get(usize::from(class.0))
            .is_some_and(|&keyed| keyed)
    }

    /// How long a terminal waits that does not say so.
    pub fn deadline(&self, class: ClassId) -> Duration {
        self.names
            .deadlines
            .get(usize::from(class.0))
            .copied()
            .unwrap_or_default()
    }

    /// How long repeats of a class that tells them by a key are dropped.
    pub fn window(&self, class: ClassId) -> Option<Duration> {
        self.names
            .windows
            .get(usize::from(class.0))
            .copied()
            .filter(|_| self.keyed(class))
    }

    /// Whether the program ends now: what is open is to be answered at once.
    pub fn ending(&self) -> watch::Receiver<bool> {
        self.ending.subscribe()
    }

    pub fn end(&self) {
        self.ending.send_replace(true);
    }

    /// Tells of the watch what the list's age follows from.
    pub fn watched(&self, tell: impl FnOnce(&mut Freshness, Micros)) {
        let mut freshness = self.freshness.get();
        tell(&mut freshness, self.now());
        self.freshness.set(freshness);
    }

    pub fn freshness(&self) -> Freshness {
        self.freshness.get()
    }

    /// True once transactions can be served: the list has named a job server.
    pub fn ready(&self) -> bool {
        self.directory.borrow().listed()
    }

    pub fn job_server(&self, id: ServerId) -> Option<Rc<JobServer>> {
        self.directory.borrow().server(id)
    }

    /// Takes a terminal's id for as long as its transaction is open. Guards against two transactions that job
    /// servers cannot tell apart: one would be taken for a repeat of the other.
    pub fn claim(self: &Rc<Self>, id: &str) -> Option<Claim> {
        let id: Rc<str> = id.into();
        let new = self.open.borrow_mut().insert(Rc::clone(&id));
        new.then(|| Claim {
            core: Rc::clone(self),
            id,
        })
    }

    /// Waits until the module asks for the list.
    pub async fn asked(&self) {
        self.list_wanted.notified().await;
    }

    /// Hands an event to the module and carries out what it asks for.
    pub fn tell(&self, event: Event) {
        let mut actions = Vec::new();
        self.balancer
            .borrow_mut()
            .handle(self.now(), event, &mut actions);
        let unsent: Vec<ServerId> = actions
            .into_iter()
            .filter_map(|action| self.carry_out(action))
            .collect();
        // Guards against a job server that is never probed again because the module waits for this one.
        for server in unsent {
            self.tell(Event::HealthCheckEnded {
                server,
                outcome: Outcome::NotSent,
                load_report: None,
            });
        }
    }

    /// Hands an action on; gives back the job server of a probe that could not be.
    fn carry_out(&self, action: Action) -> Option<ServerId> {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.step(request, Step::Send { server, timeout }),
            Action::Cancel { request, attempt } => self.step(request, Step::Cancel { attempt }),
            Action::Reject {
                request,
                retry_after,
            } => self.step(request, Step::Refuse { retry_after }),
            Action::Fail { request } => self.step(request, Step::Fail),
            Action::SetTimer { token, after } => {
                self.timers
                    .borrow_mut()
                    .push(Reverse((self.now() + after, token)));
                self.timer_set.notify_one();
            }
            Action::HealthCheck { server } => {
                return self.probes.try_send(server).is_err().then_some(server);
            }
            Action::PollEndpoints => self.list_wanted.notify_one(),
            // Sidecars do not talk to each other, and the settings say so to the module.
            Action::SendGossip { .. } => {}
            Action::Log { text, server } => {
                let server = server.and_then(|id| self.job_server(id));
                let address = server.map(|s| s.address().to_string()).unwrap_or_default();
                tracing::info!("module: {text} {address}");
            }
        }
        None
    }

    /// A transaction that has ended has no use for further steps; what was out of it is reported when it
    /// is dropped.
    fn step(&self, request: RequestId, step: Step) {
        let waiting = self.waiting.borrow();
        let Some(mailbox) = waiting.get(&request) else {
            return;
        };
        if mailbox.try_send(step).is_err() {
            tracing::warn!("a step was dropped: too many are waiting");
        }
    }

    /// Calls the module's timers as they come due, for as long as the program runs.
    pub async fn run_timers(&self) {
        loop {
            let first = self.timers.borrow().peek().map(|Reverse((at, _))| *at);
            let now = self.now();
            match first {
                Some(at) if at <= now => {
                    let due = self.timers.borrow_mut().pop();
                    if let Some(Reverse((_, token))) = due {
                        self.tell(Event::TimerFired { token });
                    }
                }
                Some(at) => {
                    let sleep = tokio::time::sleep(Duration::from_micros(at - now));
                    tokio::select! { () = sleep => {}, () = self.timer_set.notified() => {} }
                }
                None => self.timer_set.notified().await,
            }
        }
    }

    /// Hands a list of endpoints, or a change to it, to the module, as of a version that only rises.
    pub fn list(&self, kind: UpdateKind, version: u64, list: &EndpointList) {
        self.counters.list_events.add();
        for message in &list.skipped {
            self.counters.list_lines_skipped.add();
            tracing::warn!("discovery: an entry was skipped: {message}");
        }
        let entries = self
            .directory
            .borrow_mut()
            .take(kind, list, self.limits.forget);
        self.tell(Event::EndpointsUpdated {
            kind,
            version,
            endpoints: entries,
        });
    }
}

/// An id that is in use until this is dropped.
pub struct Claim {
    core: Rc<Core>,
    id: Rc<str>,
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.core.open.borrow_mut().remove(&self.id);
    }
}
