//! Every decision of the balancer. Its interface, the settings, events and actions, is `api.rs`; what it has
//! learnt is `estimates/`. The ordinary path is that of `docs/design.md`; each departure says what it guards.

mod again;
mod attempts;
mod cold;
mod list;
mod looks;
mod outcomes;
mod part;
mod peers;
mod pick;
mod probing;
mod refusals;
mod suspicion;

use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;
use crate::estimates::*;
use crate::state::*;

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
/// First pause before the list is asked for again, and its growth, up to half the time allowed. Guards
/// against many balancers that keep a full discovery full: it handles a few calls a second, whoever asks.
const REASK: Micros = 200_000;
const REASK_GROWTH: Micros = 3;
/// Time without a sign of life after which a suspect is dead, and the least between two probes of it.
const DEAD_AFTER: Micros = 8_000_000;
const SUSPECT_PROBE: Micros = 400_000;

impl Balancer {
    /// A balancer that knows nothing yet.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let first = settings.classes.iter().map(|c| c.objective).min().unwrap_or(1) as f64;
        let mut new = Self::blank(settings, seed);
        new.log_mean = (first / 4.0).ln();
        new.log_var = 1.0;
        new.unit = first / 8.0;
        new.busy = 0.5;
        new.budget = RETRY_SAVE / 2.0;
        new.reask = REASK;
        Ok(new)
    }

    /// Takes in one event and pushes what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, acts: &mut Actions) {
        self.now = self.now.max(now);
        if !self.started {
            self.started = true;
            self.next_probe = now + self.rng.u64(0..PROBE_PERIOD);
            acts.push(Action::Timer { token: TOKEN_TICK, after: TICK });
            if self.settings.list_on_request {
                self.ask(acts);
            }
        }
        match event {
            Event::Members { kind, version, entries } => self.on_list(kind, version, entries, acts),
            Event::Request(call) => self.on_request(call, acts),
            Event::Started { request } => {
                self.requests.entry(request).and_modify(|r| r.streaming = true);
            }
            Event::Outcome(end) => self.on_outcome(end, acts),
            Event::Dropped { request } => self.finish(request, acts),
            Event::Timer { token: TOKEN_TICK } => self.on_tick(acts),
            Event::Timer { .. } => self.on_alarm(acts),
            Event::Probed { server, outcome, report } => {
                self.on_probed(server, outcome == Outcome::Served, report, acts);
            }
            Event::Peer { from, message } => self.on_peer(from, &message, acts),
        }
    }

    fn find(&self, id: ServerId) -> Option<usize> {
        self.places.get(&id).copied()
    }

    pub(crate) fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[usize::from(request.class.0)]
    }
}
