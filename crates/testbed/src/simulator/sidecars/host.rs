//! Hosts a sidecar's balancer: passes events to it and executes the actions that it returns.
//!
//! Makes no decisions itself. How an action affects a request, an attempt or a health check is
//! defined in `requests`, `attempts` and `health_checks`.

use std::collections::VecDeque;

use arrowstand_balancer::{Action, Event as BalancerEvent, RequestId};

use super::components::Components;
use super::sidecar::Sidecar;
use crate::event_log::RequestOutcome;
use crate::index::{RequestNumber, ServerIndex};
use crate::scenario::{Micros, from_ms};
use crate::simulator::EPOCH;
use crate::simulator::context::Context;
use crate::simulator::event::{BalancerTimer, SimulatorEvent};

impl Sidecar {
    /// Passes an event to the balancer and executes its actions, along with the events that these
    /// cause. Does nothing while the sidecar is down.
    pub(super) fn handle_balancer_event(
        &mut self,
        event: BalancerEvent,
        components: &mut Components<'_, '_>,
    ) {
        let now = EPOCH + components.context.now();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(balancer) = &mut self.balancer else {
                return;
            };
            let mut actions = std::mem::take(&mut self.actions);
            balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(action, &mut events, components);
            }
            self.actions = actions;
        }
    }

    /// Passes events to the balancer in order. The actions and further events that one causes are
    /// handled before the next.
    pub(super) fn handle_balancer_events(
        &mut self,
        events: VecDeque<BalancerEvent>,
        components: &mut Components<'_, '_>,
    ) {
        for event in events {
            self.handle_balancer_event(event, components);
        }
    }

    /// Executes an action; the events that it causes for the balancer are added to `events`.
    fn execute_action(
        &mut self,
        action: Action,
        events: &mut VecDeque<BalancerEvent>,
        components: &mut Components<'_, '_>,
    ) {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => {
                let server = ServerIndex::new(server.0);
                self.send_attempt(request_number(request), server, timeout, events, components);
            }
            Action::Cancel { request, attempt } => {
                if let Some(key) = self.attempt_key(request_number(request), attempt) {
                    self.cancel_attempt(key, events, components);
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => self.reject_request(request_number(request), retry_after, events, components),
            Action::Fail { request } => {
                self.fail_request(request_number(request), events, components);
            }
            Action::SetTimer { token, after } => self.set_timer(token, after, components),
            Action::HealthCheck { server } => {
                self.send_health_check(ServerIndex::new(server.0), components);
            }
            Action::PollEndpoints => self.poll_endpoints(components),
            Action::SendGossip { .. } | Action::Record(_) => {}
        }
    }

    fn reject_request(
        &mut self,
        number: RequestNumber,
        retry_after: Option<Micros>,
        events: &mut VecDeque<BalancerEvent>,
        components: &mut Components<'_, '_>,
    ) {
        let retry_after = retry_after.unwrap_or(max_retry_after(components.context));
        let outcome = RequestOutcome::Rejected;
        self.respond(number, outcome, retry_after, events, components);
    }

    /// Responds to a request that is open with an error and the longest Retry-After.
    pub(super) fn fail_request(
        &mut self,
        number: RequestNumber,
        events: &mut VecDeque<BalancerEvent>,
        components: &mut Components<'_, '_>,
    ) {
        let retry_after = max_retry_after(components.context);
        let outcome = RequestOutcome::Failed;
        self.respond(number, outcome, retry_after, events, components);
    }

    fn set_timer(&self, token: u64, after: Micros, components: &mut Components<'_, '_>) {
        let process = self.process();
        let timer = SimulatorEvent::BalancerTimer(BalancerTimer { process, token });
        components.context.schedule_after(after, timer);
    }

    /// Passes a timer that has fired to the balancer.
    pub(super) fn on_balancer_timer(&mut self, token: u64, components: &mut Components<'_, '_>) {
        self.handle_balancer_event(BalancerEvent::TimerFired { token }, components);
    }
}

/// The longest Retry-After, in microseconds.
fn max_retry_after(context: &Context<'_>) -> Micros {
    from_ms(context.scenario().permissions.max_retry_after_ms)
}

fn request_number(request: RequestId) -> RequestNumber {
    RequestNumber::new(request.0)
}
