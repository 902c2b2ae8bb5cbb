//! Runs the single balancer of the process: passes events to it and executes its actions. The
//! clock, timers, servers and action queues have modules of their own.

use std::cell::RefCell;
use std::rc::Rc;

use arrowstand_balancer::{
    Action, EjectionCause, Event, LoadReport, Outcome, RequestId, ServerEvent, ServerId,
    StateChange, UpdateKind,
};
use arrowstand_control::WorkAwareBalancer;
use tokio::sync::mpsc;
use tracing::field::display;

use super::action_dispatch::ActionDispatcher;
use super::clock::BalancerClock;
use super::request_action::RequestAction;
use super::server::Server;
use super::server_registry::ServerRegistry;
use super::timers::TimerQueue;
use crate::counters::Counters;
use crate::limits::Limits;
use arrowstand_platform::{EndpointList, SkippedEntries};

/// The balancer with its clock, timers, servers and action queues. There is one per process, used
/// from a single thread.
///
/// Other modules access it only through narrow interfaces: discovery through `EndpointSink`, the
/// proxy through `RequestAdmission`, the upstream side through `ServerDirectory` and the listener
/// through `ServiceContext`.
pub(crate) struct BalancerHost {
    balancer: RefCell<WorkAwareBalancer>,
    servers: RefCell<ServerRegistry>,
    clock: Rc<BalancerClock>,
    timers: TimerQueue,
    dispatcher: ActionDispatcher,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

impl BalancerHost {
    /// Creates a host of `balancer`, and the receiver of the servers whose health is to be checked.
    pub(crate) fn new(
        balancer: WorkAwareBalancer,
        servers: ServerRegistry,
        clock: Rc<BalancerClock>,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> (Rc<Self>, mpsc::Receiver<ServerId>) {
        // The balancer has at most one health check in flight for each server.
        let (dispatcher, servers_to_check) = ActionDispatcher::new(limits.upstream.max_connections);
        let host = Self {
            balancer: RefCell::new(balancer),
            servers: RefCell::new(servers),
            clock,
            timers: TimerQueue::default(),
            dispatcher,
            limits,
            counters,
        };
        (Rc::new(host), servers_to_check)
    }

    /// True once requests can be served: an endpoint list has contained a ready server.
    pub(crate) fn is_ready(&self) -> bool {
        self.servers.borrow().has_seen_ready_server()
    }

    /// The server with this id; `None` once it has been discarded.
    pub(crate) fn server(&self, id: ServerId) -> Option<Rc<Server>> {
        self.servers.borrow().get(id)
    }

    /// Waits until the balancer requests a poll of the endpoint list.
    pub(crate) async fn poll_requested(&self) {
        self.dispatcher.poll_requested().await;
    }

    /// Fires the balancer's timers as they become due; never returns.
    pub(crate) async fn run_timers(&self) {
        loop {
            let token = self.timers.next_due(&self.clock).await;
            self.handle_event(Event::TimerFired { token });
        }
    }

    /// Passes a full, incremental or cached endpoint list to the balancer. `version` must never
    /// decrease.
    pub(crate) fn update_endpoints(&self, kind: UpdateKind, version: u64, list: &EndpointList) {
        self.counters.endpoint_updates.inc();
        self.report_skipped(&list.skipped);
        let retention = self.limits.upstream.server_retention;
        let endpoints = self
            .servers
            .borrow_mut()
            .apply_update(kind, list, retention);
        self.handle_event(Event::EndpointsUpdated {
            kind,
            version,
            endpoints,
        });
    }

    /// Counts the skipped entries of a list and logs the first of them.
    fn report_skipped(&self, skipped: &SkippedEntries) {
        self.counters.endpoint_lines_skipped.add(skipped.count());
        for error in skipped.first_errors() {
            tracing::warn!(%error, "endpoint list entry skipped");
        }
        let not_logged = skipped.count() - skipped.first_errors().len();
        if not_logged > 0 {
            tracing::warn!(count = not_logged, "further endpoint list entries skipped");
        }
    }

    /// Reports that the watch on discovery was lost; the balancer decides when to poll again.
    pub(crate) fn on_watch_lost(&self) {
        self.handle_event(Event::EndpointsUpdated {
            kind: UpdateKind::Lost,
            version: 0,
            endpoints: Vec::new(),
        });
    }

    /// Reports the end of a health check that the balancer requested.
    pub(crate) fn on_health_check_ended(
        &self,
        server: ServerId,
        outcome: Outcome,
        load_report: Option<LoadReport>,
    ) {
        self.handle_event(Event::HealthCheckEnded {
            server,
            outcome,
            load_report,
        });
    }

    /// The balancer's clock.
    pub(super) fn clock(&self) -> &BalancerClock {
        &self.clock
    }

    /// The counters of the process.
    pub(super) fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Passes an event to the balancer and executes the resulting actions.
    pub(super) fn handle_event(&self, event: Event) {
        let mut actions = Vec::new();
        self.balancer
            .borrow_mut()
            .handle(self.clock.now(), event, &mut actions);
        let unsent_health_checks: Vec<ServerId> = actions
            .into_iter()
            .filter_map(|action| self.execute(action))
            .collect();
        // Until it gets an outcome, the balancer requests no further check of the server.
        for server in unsent_health_checks {
            self.on_health_check_ended(server, Outcome::NotSent, None);
        }
    }

    /// Assigns a request its id and creates the queue of its actions.
    pub(super) fn register_request(&self) -> (RequestId, mpsc::Receiver<RequestAction>) {
        self.dispatcher
            .register_request(self.limits.max_queued_actions)
    }

    /// Removes the queue of a request that has ended; later actions for it are dropped.
    pub(super) fn unregister_request(&self, id: RequestId) {
        self.dispatcher.unregister_request(id);
    }

    /// Dispatches an action to the task that executes it. Returns the server of a health check that
    /// could not be queued.
    fn execute(&self, action: Action) -> Option<ServerId> {
        let dispatch = |request, action| self.dispatcher.dispatch_to_request(request, action);
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => dispatch(request, RequestAction::Send { server, timeout }),
            Action::Cancel { request, attempt } => {
                dispatch(request, RequestAction::Cancel { attempt });
            }
            Action::Reject {
                request,
                retry_after,
            } => dispatch(request, RequestAction::Reject { retry_after }),
            Action::Fail { request } => dispatch(request, RequestAction::Fail),
            Action::SetTimer { token, after } => {
                self.timers.schedule(self.clock.now() + after, token);
            }
            Action::HealthCheck { server } => {
                return (!self.dispatcher.enqueue_health_check(server)).then_some(server);
            }
            Action::PollEndpoints => self.dispatcher.request_poll(),
            // Sidecars have no channel between them; the balancer's settings disable gossip.
            Action::SendGossip { .. } => {}
            Action::Record(change) => self.log_state_change(change),
        }
        None
    }

    /// Logs a state change, with the server's address unless the server has been discarded.
    fn log_state_change(&self, change: StateChange) {
        let (server, event) = match change {
            StateChange::EndpointListLost => return tracing::info!("endpoint list lost"),
            StateChange::Server { server, event } => (self.server(server), event),
        };
        let address = server.map(|server| display(server.address()));
        match event {
            ServerEvent::Ejected { cause } => {
                tracing::info!(address, cause = ejection_cause(cause), "server ejected");
            }
            ServerEvent::DeclaredDead => tracing::info!(address, "server declared dead"),
            ServerEvent::Readmitted => tracing::info!(address, "server readmitted"),
        }
    }
}

fn ejection_cause(cause: EjectionCause) -> &'static str {
    match cause {
        EjectionCause::HealthChecks => "health checks fail",
        EjectionCause::Attempts => "attempts fail or are overdue",
        EjectionCause::Gossip => "another sidecar suspects it",
    }
}
