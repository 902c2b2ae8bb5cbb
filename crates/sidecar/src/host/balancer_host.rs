//! The one balancer of the process: hands it events and executes its actions. The clock, timers,
//! servers and the queues of actions are parts with files of their own.

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
use arrowstand_platform::EndpointList;

/// The balancer and the parts that run it. There is one, and it stays on one thread.
///
/// The rest of the sidecar reaches it through the interface of its side alone: discovery by its
/// `EndpointSink`, the proxy by its `RequestAdmission`, the transport by its `ServerDirectory`, the
/// listener by its `ServiceContext`.
pub(crate) struct BalancerHost {
    balancer: RefCell<WorkAwareBalancer>,
    servers: RefCell<ServerRegistry>,
    clock: Rc<BalancerClock>,
    timers: TimerQueue,
    actions: ActionDispatcher,
    limits: Rc<Limits>,
    counters: Rc<Counters>,
}

impl BalancerHost {
    /// Hosts this balancer; the receiver yields the servers whose health is to be checked.
    pub(crate) fn new(
        balancer: WorkAwareBalancer,
        servers: ServerRegistry,
        clock: Rc<BalancerClock>,
        limits: Rc<Limits>,
        counters: Rc<Counters>,
    ) -> (Rc<Self>, mpsc::Receiver<ServerId>) {
        // The balancer has at most one health check in flight for each server.
        let (actions, servers_to_check) = ActionDispatcher::new(limits.upstream.max_connections);
        let host = Self {
            balancer: RefCell::new(balancer),
            servers: RefCell::new(servers),
            clock,
            timers: TimerQueue::default(),
            actions,
            limits,
            counters,
        };
        (Rc::new(host), servers_to_check)
    }

    /// True once requests can be served: a list has named a server that is ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.servers.borrow().has_listed_ready()
    }

    /// The server of that number; `None` once it is forgotten.
    pub(crate) fn server(&self, id: ServerId) -> Option<Rc<Server>> {
        self.servers.borrow().get(id)
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
        self.counters.endpoint_updates.inc();
        for error in &list.skipped {
            self.counters.endpoint_lines_skipped.inc();
            tracing::warn!(%error, "endpoint list entry skipped");
        }
        let retention = self.limits.upstream.server_retention;
        let endpoints = self.servers.borrow_mut().apply(kind, list, retention);
        self.handle_event(Event::EndpointsUpdated {
            kind,
            version,
            endpoints,
        });
    }

    /// The watch on discovery is lost: the balancer decides when to poll again.
    pub(crate) fn on_watch_lost(&self) {
        self.handle_event(Event::EndpointsUpdated {
            kind: UpdateKind::Lost,
            version: 0,
            endpoints: Vec::new(),
        });
    }

    /// A health check that the balancer requested has ended.
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

    /// What the process counts.
    pub(super) fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Hands an event to the balancer and executes the actions that result.
    pub(super) fn handle_event(&self, event: Event) {
        let mut actions = Vec::new();
        self.balancer
            .borrow_mut()
            .handle(self.clock.now(), event, &mut actions);
        let unsent_health_checks: Vec<ServerId> = actions
            .into_iter()
            .filter_map(|action| self.execute(action))
            .collect();
        // The balancer requests no further check of a server while it waits for this one.
        for server in unsent_health_checks {
            self.on_health_check_ended(server, Outcome::NotSent, None);
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
            Action::SetTimer { token, after } => {
                self.timers.schedule(self.clock.now() + after, token);
            }
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

    /// Logs a change, with the server's address unless the server is forgotten by now.
    fn log(&self, change: StateChange) {
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
