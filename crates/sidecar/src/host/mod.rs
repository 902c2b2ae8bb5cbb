//! The one balancer, its clock and timers, the interning of job servers, and the routing of its actions
//! to whoever waits for them. Nothing here knows of HTTP.

mod in_flight_request;
mod server;
mod server_registry;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arrowstand_balancer::{
    Action, ClassId, Event, Micros, Outcome, RequestId, ServerId, UpdateKind,
};
use arrowstand_control::WorkAwareBalancer;
use arrowstand_control::list_freshness::ListFreshness;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

pub use in_flight_request::{InFlightRequest, RequestAction};
pub use server::Server;
use server_registry::ServerRegistry;

use crate::config::Names;
use crate::counters::Counters;
use crate::discovery::EndpointList;
use crate::limits::Limits;

/// Everything that decides. One of them runs on one thread.
pub struct BalancerHost {
    balancer: RefCell<WorkAwareBalancer>,
    servers: RefCell<ServerRegistry>,
    action_senders: RefCell<BTreeMap<RequestId, mpsc::Sender<RequestAction>>>,
    /// What the terminals call the transactions that are open.
    open_request_ids: RefCell<HashSet<Rc<str>>>,
    timers: RefCell<BinaryHeap<Reverse<(Micros, u64)>>>,
    timer_added: Notify,
    poll_wanted: Notify,
    health_checks: mpsc::Sender<ServerId>,
    next_request: Cell<u64>,
    /// How long the list may be trusted.
    freshness: Cell<ListFreshness>,
    forced_shutdown: watch::Sender<bool>,
    started_at: Instant,
    unix_epoch_at_start: Micros,
    names: Names,
    pub limits: Rc<Limits>,
    pub counters: Rc<Counters>,
}

impl BalancerHost {
    /// The core, and the job servers to probe as the module asks for them.
    pub fn new(
        balancer: WorkAwareBalancer,
        names: Names,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> (Rc<Self>, mpsc::Receiver<ServerId>) {
        // The module has at most one probe out for each job server.
        let (probes, wanted) = mpsc::channel(limits.upstream.max_connections);
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let host = Self {
            balancer: RefCell::new(balancer),
            servers: RefCell::new(ServerRegistry::new(
                names.zones.clone(),
                names.machines.clone(),
            )),
            action_senders: RefCell::default(),
            open_request_ids: RefCell::default(),
            timers: RefCell::default(),
            timer_added: Notify::new(),
            poll_wanted: Notify::new(),
            health_checks: probes,
            next_request: Cell::new(0),
            freshness: Cell::new(ListFreshness::new(
                limits.discovery.staleness,
                unix.as_micros() as Micros,
            )),
            forced_shutdown: watch::Sender::new(false),
            started_at: Instant::now(),
            unix_epoch_at_start: unix.as_micros() as Micros,
            names,
            limits,
            counters,
        };
        (Rc::new(host), wanted)
    }

    /// The module's clock: Unix time at the start, and steady from there, so that start times in the
    /// list stand on it and no step of the wall clock moves a timer.
    pub fn now(&self) -> Micros {
        self.unix_epoch_at_start + self.started_at.elapsed().as_micros() as Micros
    }

    /// What the module's clock showed then.
    pub fn micros_at(&self, instant: Instant) -> Micros {
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
    pub fn requires_idempotency_key(&self, class: ClassId) -> bool {
        self.names
            .keyed
            .get(usize::from(class.0))
            .is_some_and(|&keyed| keyed)
    }

    /// How long a terminal waits that does not say so.
    pub fn default_client_timeout(&self, class: ClassId) -> Duration {
        self.names
            .deadlines
            .get(usize::from(class.0))
            .copied()
            .unwrap_or_default()
    }

    /// How long repeats of a class that tells them by a key are dropped.
    pub fn deduplication_window(&self, class: ClassId) -> Option<Duration> {
        self.names
            .windows
            .get(usize::from(class.0))
            .copied()
            .filter(|_| self.requires_idempotency_key(class))
    }

    /// Whether the program ends now: what is open is to be answered at once.
    pub fn forced_shutdown(&self) -> watch::Receiver<bool> {
        self.forced_shutdown.subscribe()
    }

    pub fn force_shutdown(&self) {
        self.forced_shutdown.send_replace(true);
    }

    /// Tells of the watch what the list's age follows from.
    pub fn update_list_freshness(&self, tell: impl FnOnce(&mut ListFreshness, Micros)) {
        let mut freshness = self.freshness.get();
        tell(&mut freshness, self.now());
        self.freshness.set(freshness);
    }

    pub fn list_freshness(&self) -> ListFreshness {
        self.freshness.get()
    }

    /// True once transactions can be served: the list has named a job server.
    pub fn is_ready(&self) -> bool {
        self.servers.borrow().has_listed_ready()
    }

    pub fn server(&self, id: ServerId) -> Option<Rc<Server>> {
        self.servers.borrow().get(id)
    }

    /// Takes a terminal's id for as long as its transaction is open. Guards against two transactions that job
    /// servers cannot tell apart: one would be taken for a repeat of the other.
    pub fn claim_request_id(self: &Rc<Self>, id: &str) -> Option<RequestIdGuard> {
        let id: Rc<str> = id.into();
        let new = self.open_request_ids.borrow_mut().insert(Rc::clone(&id));
        new.then(|| RequestIdGuard {
            host: Rc::clone(self),
            id,
        })
    }

    /// Waits until the module asks for the list.
    pub async fn poll_requested(&self) {
        self.poll_wanted.notified().await;
    }

    /// Hands an event to the module and carries out what it asks for.
    pub fn handle_event(&self, event: Event) {
        let mut actions = Vec::new();
        self.balancer
            .borrow_mut()
            .handle(self.now(), event, &mut actions);
        let unsent: Vec<ServerId> = actions
            .into_iter()
            .filter_map(|action| self.execute(action))
            .collect();
        // Guards against a job server that is never probed again because the module waits for this one.
        for server in unsent {
            self.handle_event(Event::HealthCheckEnded {
                server,
                outcome: Outcome::NotSent,
                load_report: None,
            });
        }
    }

    /// Hands an action on; gives back the job server of a probe that could not be.
    fn execute(&self, action: Action) -> Option<ServerId> {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.dispatch_action(request, RequestAction::Send { server, timeout }),
            Action::Cancel { request, attempt } => {
                self.dispatch_action(request, RequestAction::Cancel { attempt })
            }
            Action::Reject {
                request,
                retry_after,
            } => self.dispatch_action(request, RequestAction::Reject { retry_after }),
            Action::Fail { request } => self.dispatch_action(request, RequestAction::Fail),
            Action::SetTimer { token, after } => {
                self.timers
                    .borrow_mut()
                    .push(Reverse((self.now() + after, token)));
                self.timer_added.notify_one();
            }
            Action::HealthCheck { server } => {
                return self
                    .health_checks
                    .try_send(server)
                    .is_err()
                    .then_some(server);
            }
            Action::PollEndpoints => self.poll_wanted.notify_one(),
            // Sidecars do not talk to each other, and the settings say so to the module.
            Action::SendGossip { .. } => {}
            Action::Log { text, server } => {
                let server = server.and_then(|id| self.server(id));
                let address = server.map(|s| s.address().to_string()).unwrap_or_default();
                tracing::info!("module: {text} {address}");
            }
        }
        None
    }

    /// A transaction that has ended has no use for further steps; what was out of it is reported when it
    /// is dropped.
    fn dispatch_action(&self, request: RequestId, step: RequestAction) {
        let waiting = self.action_senders.borrow();
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
                        self.handle_event(Event::TimerFired { token });
                    }
                }
                Some(at) => {
                    let sleep = tokio::time::sleep(Duration::from_micros(at - now));
                    tokio::select! { () = sleep => {}, () = self.timer_added.notified() => {} }
                }
                None => self.timer_added.notified().await,
            }
        }
    }

    /// Hands a list of endpoints, or a change to it, to the module, as of a version that only rises.
    pub fn update_endpoints(&self, kind: UpdateKind, version: u64, list: &EndpointList) {
        self.counters.endpoint_updates.add();
        for message in &list.skipped {
            self.counters.endpoint_lines_skipped.add();
            tracing::warn!("discovery: an entry was skipped: {message}");
        }
        let entries =
            self.servers
                .borrow_mut()
                .apply(kind, list, self.limits.upstream.server_retention);
        self.handle_event(Event::EndpointsUpdated {
            kind,
            version,
            endpoints: entries,
        });
    }
}

/// An id that is in use until this is dropped.
pub struct RequestIdGuard {
    host: Rc<BalancerHost>,
    id: Rc<str>,
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.host.open_request_ids.borrow_mut().remove(&self.id);
    }
}
