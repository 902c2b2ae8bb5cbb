//! [`Balancer`]: dispatches events to the policies and applies their decisions.
//!
//! Decisions are made by the types of `policy/`, which read the fleet and return a decision with
//! its reason. Only `Balancer` applies decisions, by changing state and pushing actions: `requests`
//! handles requests, `servers` handles servers, and `membership` handles endpoint lists and gossip.
//! `docs/balancer.md` describes the rule behind each decision.

mod membership;
mod policies;
mod requests;
mod servers;

use crate::balancer::policies::Policies;
use crate::fleet::Fleet;
use crate::policy::{CheckTarget, HealthChecker};
use crate::state::{RequestTable, ServerIndex};
use crate::{Action, Actions, Event, Micros, RequestId, Settings, SettingsError};

/// Interval between ticks in microseconds: well below any latency objective.
const TICK_INTERVAL: Micros = 25_000;
/// Token of the tick timer.
const TICK_TIMER_TOKEN: u64 = 0;
/// Token shared by the timers of all requests.
const REQUEST_TIMER_TOKEN: u64 = 1;

/// Load balancer of one sidecar. Instances do not share state.
pub struct Balancer {
    fleet: Fleet,
    requests: RequestTable,
    policies: Policies,
    rng: fastrand::Rng,
    started: bool,
}

impl Balancer {
    /// Creates a balancer without servers. Equal settings, seeds and events produce equal actions.
    ///
    /// # Errors
    /// Returns the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let policies = Policies::new(&settings);
        Ok(Self {
            fleet: Fleet::new(settings),
            requests: RequestTable::default(),
            policies,
            rng: fastrand::Rng::with_seed(seed),
            started: false,
        })
    }

    /// Handles an event and appends the resulting actions to `actions`. `now` is in microseconds;
    /// if it is less than at an earlier call, the greatest `now` of all earlier calls is used
    /// instead.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.fleet.now = self.fleet.now.max(now);
        if !self.started {
            self.on_first_event(actions);
        }
        match event {
            Event::EndpointsUpdated {
                kind,
                version,
                endpoints,
            } => self.on_endpoints_updated(kind, version, endpoints, actions),
            Event::RequestArrived(request) => self.on_request_arrived(&request, actions),
            Event::ResponseStarted { request } => self.on_response_started(request),
            Event::AttemptEnded(end) => self.on_attempt_ended(&end, actions),
            Event::ClientDisconnected { request } => self.finish(request, actions),
            Event::TimerFired {
                token: TICK_TIMER_TOKEN,
            } => self.on_tick(actions),
            Event::TimerFired { .. } => self.on_request_timer(actions),
            Event::HealthCheckEnded {
                server,
                outcome,
                load_report,
            } => self.on_health_check_ended(server, outcome, load_report, actions),
            Event::GossipReceived { from, message } => {
                self.on_gossip_received(from, &message, actions);
            }
        }
    }

    fn on_first_event(&mut self, actions: &mut Actions) {
        self.started = true;
        self.policies
            .health_checker
            .on_started(self.fleet.now, &mut self.rng);
        set_tick_timer(actions);
        if self.fleet.settings.polling.required {
            self.poll_endpoints(actions);
        }
    }

    fn on_tick(&mut self, actions: &mut Actions) {
        set_tick_timer(actions);
        let subset = self.policies.subsetter.ready_servers(&self.fleet);
        self.policies
            .slow_start_admission
            .on_tick(&self.fleet, subset);
        for server in self.fleet.servers.indices() {
            self.evaluate_server(server, actions);
        }
        if self.policies.health_checker.is_due(&self.fleet) {
            self.run_scheduled_health_check(actions);
        }
        if self.policies.endpoint_poller.is_due(self.fleet.now) {
            self.poll_endpoints(actions);
        }
    }

    /// Checks the next server of the schedule, and sends a gossip datagram if suspicions are
    /// queued. As gossip is sent only along with scheduled checks, it needs no schedule of its own,
    /// and its rate is limited by theirs.
    fn run_scheduled_health_check(&mut self, actions: &mut Actions) {
        let target = self.policies.health_checker.next_target(&self.fleet);
        let server = match target {
            CheckTarget::Server(server) => Some(server),
            CheckTarget::RandomCandidate => {
                let fleet = &mut self.fleet;
                let candidates = self.policies.check_candidates(fleet, &mut self.rng);
                self.rng.choice(candidates)
            }
        };
        if let Some(server) = server {
            self.start_health_check(server, actions);
            self.fleet.servers[server]
                .health_check
                .on_scheduled_check_requested();
        }
        let datagram = self
            .policies
            .gossip
            .next_datagram(&self.fleet.settings, &mut self.rng);
        actions.extend(datagram.map(Action::from));
    }

    /// Starts a health check of a server unless one is in progress or the host cannot send any.
    fn start_health_check(&mut self, server: ServerIndex, actions: &mut Actions) {
        let server = &mut self.fleet.servers[server];
        if HealthChecker::may_start(&self.fleet.settings, server) {
            server.health_check.on_started(self.fleet.now);
            actions.push(Action::HealthCheck {
                server: server.id(),
            });
        }
    }

    /// Starts an unscheduled health check. If it fails, the server is not suspected, and no second
    /// or indirect check confirms the failure. Instead, a scheduled check of it is brought forward.
    fn start_unscheduled_health_check(&mut self, server: ServerIndex, actions: &mut Actions) {
        self.fleet.servers[server]
            .health_check
            .on_unscheduled_check_requested();
        self.start_health_check(server, actions);
    }

    /// Dispatches the requests whose timers have expired.
    fn on_request_timer(&mut self, actions: &mut Actions) {
        while let Some(id) = self.requests.take_due(self.fleet.now) {
            self.dispatch(id, actions);
        }
    }

    /// Sets a timer that dispatches a request after this delay, unless it has been sent by then.
    fn set_request_timer(&mut self, id: RequestId, after: Micros, actions: &mut Actions) {
        self.requests.set_timer(id, self.fleet.now + after);
        actions.push(Action::SetTimer {
            token: REQUEST_TIMER_TOKEN,
            after,
        });
    }

    /// Handles the start of a streamed response: its request is not retried any more.
    fn on_response_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.on_response_started();
        }
    }
}

fn set_tick_timer(actions: &mut Actions) {
    actions.push(Action::SetTimer {
        token: TICK_TIMER_TOKEN,
        after: TICK_INTERVAL,
    });
}
