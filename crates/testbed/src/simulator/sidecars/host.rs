//! Hosts a sidecar's balancer: gives it events, and carries out the actions that it asks for.

use std::collections::VecDeque;

use arrowstand_balancer::{Action, Event as BalancerEvent, RequestId};

use crate::event_log::RequestOutcome;
use crate::index::{RequestNumber, ServerIndex, SidecarIndex};
use crate::scenario::{Micros, from_ms};
use crate::simulator::event::{BalancerTimer, SimulatorEvent};
use crate::simulator::{EPOCH, Simulator};

impl Simulator<'_> {
    /// Gives an event to a balancer and carries out what it asks for, and what follows from that.
    pub(in crate::simulator) fn handle_balancer_event(
        &mut self,
        sidecar: SidecarIndex,
        event: BalancerEvent,
    ) {
        let now = EPOCH + self.context.now();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            actions.clear();
            let Some(balancer) = &mut self.sidecars[sidecar.index()].balancer else {
                return;
            };
            balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(sidecar, action, &mut events);
            }
            self.actions = actions;
        }
    }

    /// Gives a balancer events one after the other, each with all that follows from it.
    pub(in crate::simulator) fn handle_balancer_events(
        &mut self,
        sidecar: SidecarIndex,
        events: VecDeque<BalancerEvent>,
    ) {
        for event in events {
            self.handle_balancer_event(sidecar, event);
        }
    }

    /// Carries out an action; what the balancer is to learn of it is added to `events`.
    fn execute(
        &mut self,
        sidecar: SidecarIndex,
        action: Action,
        events: &mut VecDeque<BalancerEvent>,
    ) {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => {
                let number = RequestNumber::new(request.0);
                let server = ServerIndex::new(server.0);
                self.send_attempt(sidecar, number, server, timeout, events);
            }
            Action::Cancel { request, attempt } => {
                let number = RequestNumber::new(request.0);
                if let Some(key) = self.attempt_of(sidecar, number, attempt) {
                    self.cancel_attempt(key, events);
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => self.reject_request(sidecar, request, retry_after, events),
            Action::Fail { request } => self.fail_request(sidecar, request, events),
            Action::SetTimer { token, after } => self.set_balancer_timer(sidecar, token, after),
            Action::HealthCheck { server } => {
                self.send_health_check(sidecar, ServerIndex::new(server.0))
            }
            Action::PollEndpoints => self.poll_endpoints(sidecar),
            Action::SendGossip { .. } | Action::Record(_) => {}
        }
    }

    /// Longest Retry-After, in microseconds.
    pub(super) fn max_retry_after(&self) -> Micros {
        from_ms(self.context.scenario().permissions.max_retry_after_ms)
    }

    fn reject_request(
        &mut self,
        sidecar: SidecarIndex,
        request: RequestId,
        retry_after: Option<Micros>,
        events: &mut VecDeque<BalancerEvent>,
    ) {
        let number = RequestNumber::new(request.0);
        let outcome = RequestOutcome::Rejected;
        let retry_after = retry_after.unwrap_or(self.max_retry_after());
        self.respond(sidecar, number, outcome, retry_after, events);
    }

    fn fail_request(
        &mut self,
        sidecar: SidecarIndex,
        request: RequestId,
        events: &mut VecDeque<BalancerEvent>,
    ) {
        let number = RequestNumber::new(request.0);
        let outcome = RequestOutcome::Failed;
        let retry_after = self.max_retry_after();
        self.respond(sidecar, number, outcome, retry_after, events);
    }

    fn set_balancer_timer(&mut self, sidecar: SidecarIndex, token: u64, after: Micros) {
        let process = self.process(sidecar);
        let timer = SimulatorEvent::BalancerTimer(BalancerTimer { process, token });
        self.context.after(after, timer);
    }

    pub(in crate::simulator) fn on_balancer_timer(&mut self, timer: &BalancerTimer) {
        if self.is_current(timer.process) {
            let token = timer.token;
            let fired = BalancerEvent::TimerFired { token };
            self.handle_balancer_event(timer.process.sidecar, fired);
        }
    }
}
