//! Every decision of the balancer. Its interface, the settings, events and actions, is `settings.rs`, `event.rs` and `action.rs`; what it has
//! learnt is `estimators/`. The ordinary path is that of `docs/design.md`; each departure says what it guards.

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
use crate::state::*;
use crate::*;

/// How often the balancer looks around, in microseconds: well under any time an answer is wanted in.
const TICK: Micros = 25_000;
/// Time between random probes: what keeps their fee under the last figure at own traffic, within these two;
/// while a server is suspected they come so many times as often, every other one for a suspect.
const PROBE_PERIOD: Micros = 1_000_000;
const PROBE_PERIOD_MOST: Micros = 5_000_000;
const PROBE_HASTE: Micros = 4;
const PROBE_COST: f64 = 0.001;
/// Further attempts earned by each request, what one costs where none has run, and the most saved up: a
/// fleet that turns work away must not get each request several times, and cold servers get none of these.
const RETRY_EARN: f64 = 0.05;
const RETRY_UNRUN: f64 = 0.25;
const RETRY_SAVE: f64 = 10.0;
pub(crate) const INITIAL_RETRY_BUDGET: f64 = RETRY_SAVE / 2.0;
/// First pause before the list is asked for again, and its growth, up to half the time allowed. Guards
/// against many balancers that keep a full discovery full: it handles a few calls a second, whoever asks.
pub(crate) const REASK: Micros = 200_000;
const REASK_GROWTH: Micros = 3;
/// Time without a sign of life after which a suspect is dead, and the least between two probes of it.
const DEAD_AFTER: Micros = 8_000_000;
const SUSPECT_PROBE: Micros = 400_000;

impl Balancer {
    /// Takes in one event and pushes what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, acts: &mut Actions) {
        self.now = self.now.max(now);
        if !self.started {
            self.started = true;
            self.next_probe = now + self.rng.u64(0..PROBE_PERIOD);
            acts.push(Action::SetTimer { token: TOKEN_TICK, after: TICK });
            if self.settings.poll_endpoints {
                self.ask(acts);
            }
        }
        match event {
            Event::EndpointsUpdated { kind, version, endpoints: entries } => {
                self.on_list(kind, version, entries, acts)
            }
            Event::RequestArrived(call) => self.on_request(call, acts),
            Event::ResponseStarted { request } => {
                self.requests.entry(request).and_modify(|r| r.streaming = true);
            }
            Event::AttemptEnded(end) => self.on_outcome(end, acts),
            Event::ClientDisconnected { request } => self.finish(request, acts),
            Event::TimerFired { token: TOKEN_TICK } => self.on_tick(acts),
            Event::TimerFired { .. } => self.on_alarm(acts),
            Event::HealthCheckEnded { server, outcome, load_report: report } => {
                self.on_probed(server, outcome == Outcome::Served, report, acts);
            }
            Event::GossipReceived { from, message } => self.on_peer(from, &message, acts),
        }
    }
}
