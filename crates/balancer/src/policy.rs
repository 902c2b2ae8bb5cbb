//! Passes each event to the policy that decides about it. The policies are the files of `policy/`; the
//! ordinary path is that of `docs/design.md`, and each departure says what it guards.

mod attempt_result;
mod dispatch;
mod endpoints;
mod failure_detector;
mod gossip;
mod health_check;
mod load_check;
mod load_shedding;
mod pick;
mod retry;
mod slow_start;
mod subset;

use std::collections::{BTreeMap, BTreeSet};

use crate::estimators::*;
pub(crate) use crate::policy::endpoints::INITIAL_POLL_BACKOFF;
use crate::policy::failure_detector::SUSPECT_CHECK_INTERVAL;
use crate::policy::health_check::*;
pub(crate) use crate::policy::retry::*;
use crate::state::*;
use crate::*;

impl Balancer {
    /// Takes in one event and pushes what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Actions) {
        self.now = self.now.max(now);
        if !self.started {
            self.started = true;
            self.next_health_check_at = now + self.rng.u64(0..MIN_HEALTH_CHECK_INTERVAL);
            actions.push(Action::SetTimer { token: TICK_TOKEN, after: TICK_INTERVAL });
            if self.settings.poll_endpoints {
                self.poll_endpoints(actions);
            }
        }
        match event {
            Event::EndpointsUpdated { kind, version, endpoints: entries } => {
                self.on_endpoints_updated(kind, version, entries, actions)
            }
            Event::RequestArrived(call) => self.on_request_arrived(call, actions),
            Event::ResponseStarted { request } => {
                self.requests.entry(request).and_modify(|r| r.streaming = true);
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(end, actions),
            Event::ClientDisconnected { request } => self.finish(request, actions),
            Event::TimerFired { token: TICK_TOKEN } => self.on_tick(actions),
            Event::TimerFired { .. } => self.on_request_timer(actions),
            Event::HealthCheckEnded { server, outcome, load_report: report } => {
                self.on_health_check_ended(server, outcome == Outcome::Served, report, actions);
            }
            Event::GossipReceived { from, message } => self.on_gossip_received(from, &message, actions),
        }
    }
}
