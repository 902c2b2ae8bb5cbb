//! The one balancer of the process: hands it events and executes its actions. The clock, timers,
//! request ids, classes, servers and the queues of actions are parts with files of their own.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use arrowstand_balancer::{
    Action, ClassId, Event, Micros, Outcome, RequestId, ServerEvent, ServerId, StateChange,
    UpdateKind,
};
use arrowstand_control::WorkAwareBalancer;
use arrowstand_control::list_freshness::ListFreshness;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::action_dispatch::ActionDispatcher;
use super::class_table::ClassTable;
use super::clock::BalancerClock;
use super::request_action::RequestAction;
use super::request_ids::{OpenRequestIds, RequestIdGuard};
use super::server::Server;
use super::server_registry::ServerRegistry;
use super::timers::TimerQueue;
use crate::config::Names;
use crate::counters::Counters;
use crate::limits::Limits;
use arrowstand_platform::EndpointList;

/// The balancer and the parts that run it. There is one, and it stays on one thread.
pub(crate) struct BalancerHost {
    balancer: RefCell<WorkAwareBalancer>,
    servers: RefCell<ServerRegistry>,
    classes: ClassTable,
    clock: BalancerClock,
    timers: TimerQueue,
    actions: ActionDispatcher,
    request_ids: Rc<OpenRequestIds>,
    /// For how long the endpoint list may be trusted.
    freshness: Cell<ListFreshness>,
    forced_shutdown: watch::Sender<bool>,
    /// Every bound of the network code.
    pub limits: Rc<Limits>,
    /// What the process counts.
    pub counters: Rc<Counters>,
}

impl BalancerHost {
    /// Hosts this balancer; the receiver yields the servers whose health is to be checked.
    pub(crate) fn new(
        balancer: WorkAwareBalancer,
        names: Names,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> (Rc<Self>, mpsc::Receiver<ServerId>) {
        // The balancer has at most one health check in flight for each server.
        let (actions, servers_to_check) = ActionDispatcher::new(limits.upstream.max_connections);
        let clock = BalancerClock::start();
        let freshness = ListFreshness::new(limits.discovery.staleness, clock.unix_time_at_start());
        let classes = ClassTable::new(&names);
        let host = Self {
            balancer: RefCell::new(balancer),
            servers: RefCell::new(ServerRegistry::new(names.zones, names.machines)),
            classes,
            clock,
            timers: TimerQueue::default(),
            actions,
            request_ids: Rc::default(),
            freshness: Cell::new(freshness),
            forced_shutdown: watch::Sender::new(false),
            limits,
            counters,
        };
        (Rc::new(host), servers_to_check)
    }

    /// The balancer's clock now, in Unix microseconds; no step of the wall clock moves it.
    pub(crate) fn now(&self) -> Micros {
        self.clock.now()
    }

    /// What the balancer's clock showed at an instant that is past.
    pub(crate) fn micros_at(&self, instant: Instant) -> Micros {
        self.clock.micros_at(instant)
    }

    /// The class of that name; `None` where the configuration has none.
    pub(crate) fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.id(name)
    }

    /// True for a class whose requests carry an idempotency key.
    pub(crate) fn requires_idempotency_key(&self, class: ClassId) -> bool {
        self.classes.requires_idempotency_key(class)
    }

    /// How long a client of the class waits that does not say so.
    pub(crate) fn default_client_timeout(&self, class: ClassId) -> Duration {
        self.classes.default_client_timeout(class)
    }

    /// For how long servers drop retries of a request by its idempotency key; `None` for a class
    /// without keys.
    pub(crate) fn deduplication_window(&self, class: ClassId) -> Option<Duration> {
        self.classes.deduplication_window(class)
    }

    /// Becomes true where the process is about to end: every request in flight gets its response at
    /// once.
    pub(crate) fn forced_shutdown(&self) -> watch::Receiver<bool> {
        self.forced_shutdown.subscribe()
    }

    /// Has every request in flight get its response at once.
    pub(crate) fn force_shutdown(&self) {
        self.forced_shutdown.send_replace(true);
    }

    /// Records what the age of the endpoint list follows from; `update` also gets the balancer's
    /// clock.
    pub(crate) fn update_list_freshness(&self, update: impl FnOnce(&mut ListFreshness, Micros)) {
        let mut freshness = self.freshness.get();
        update(&mut freshness, self.now());
        self.freshness.set(freshness);
    }

    /// For how long the endpoint list may be trusted.
    pub(crate) fn list_freshness(&self) -> ListFreshness {
        self.freshness.get()
    }

    /// True once requests can be served: a list has named a server that is ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.servers.borrow().has_listed_ready()
    }

    /// The server of that number; `None` once it is forgotten.
    pub(crate) fn server(&self, id: ServerId) -> Option<Rc<Server>> {
        self.servers.borrow().get(id)
    }

    /// Reserves a client's request id until the guard is dropped; `None` where it is in use.
    pub(crate) fn reserve_request_id(&self, id: &str) -> Option<RequestIdGuard> {
        self.request_ids.reserve(id)
    }

    /// Waits until the balancer wants the endpoint list polled.
    pub(crate) async fn poll_requested(&self) {
        self.actions.poll_requested().await;
    }

    /// Fires the balancer's timers as they come due, for as long as the process runs.
    pub(crate) async fn run_timers(&self) {
        loop {
            let token = self.timers.next_due(&self.clock).await;
            self.handle_event(Event::TimerFired { token });
        }
    }

    /// Hands an endpoint list, or a change to it, to the balancer, under a version that never
    /// falls.
    pub(crate) fn update_endpoints(&self, kind: UpdateKind, version: u64, list: &EndpointList) {
        self.counters.endpoint_updates.add();
        for message in &list.skipped {
            self.counters.endpoint_lines_skipped.add();
            tracing::warn!("discovery: an entry was skipped: {message}");
        }
        let retention = self.limits.upstream.server_retention;
        let endpoints = self.servers.borrow_mut().apply(kind, list, retention);
        self.handle_event(Event::EndpointsUpdated {
            kind,
            version,
            endpoints,
        });
    }

    /// Hands an event to the balancer and executes the actions that result.
    pub(crate) fn handle_event(&self, event: Event) {
        let mut actions = Vec::new();
        self.balancer
            .borrow_mut()
            .handle(self.now(), event, &mut actions);
        let unsent_health_checks: Vec<ServerId> = actions
            .into_iter()
            .filter_map(|action| self.execute(action))
            .collect();
        // Guards against a server whose health is never checked again because the balancer waits
        // for this check.
        for server in unsent_health_checks {
            self.handle_event(Event::HealthCheckEnded {
                server,
                outcome: Outcome::NotSent,
                load_report: None,
            });
        }
    }

    /// Gives a request a number and a queue of its actions.
    pub(super) fn register_request(&self) -> (RequestId, mpsc::Receiver<RequestAction>) {
        self.actions
            .register_request(self.limits.max_queued_actions)
    }

    /// Drops the actions that still come for a request that has ended.
    pub(super) fn unregister_request(&self, id: RequestId) {
        self.actions.unregister_request(id);
    }

    /// Hands an action to the task that executes it; returns the server of a health check that
    /// cannot be made.
    fn execute(&self, action: Action) -> Option<ServerId> {
        let to_request = |request, action| self.actions.dispatch_to_request(request, action);
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => to_request(request, RequestAction::Send { server, timeout }),
            Action::Cancel { request, attempt } => {
                to_request(request, RequestAction::Cancel { attempt });
            }
            Action::Reject {
                request,
                retry_after,
            } => to_request(request, RequestAction::Reject { retry_after }),
            Action::Fail { request } => to_request(request, RequestAction::Fail),
            Action::SetTimer { token, after } => self.timers.schedule(self.now() + after, token),
            Action::HealthCheck { server } => {
                return (!self.actions.enqueue_health_check(server)).then_some(server);
            }
            Action::PollEndpoints => self.actions.request_poll(),
            // There is no channel between sidecars, and the balancer's settings say so.
            Action::SendGossip { .. } => {}
            Action::Record(change) => self.log(change),
        }
        None
    }

    fn log(&self, change: StateChange) {
        let StateChange::Server { server, event } = change else {
            tracing::info!("balancer: endpoint list lost");
            return;
        };
        let server = self.server(server);
        let server = server.map(|s| s.address().to_string()).unwrap_or_default();
        match event {
            ServerEvent::Ejected { cause } => {
                tracing::info!(server, ?cause, "balancer: server ejected");
            }
            ServerEvent::DeclaredDead => tracing::info!(server, "balancer: server declared dead"),
            ServerEvent::Readmitted => tracing::info!(server, "balancer: server readmitted"),
        }
    }
}
