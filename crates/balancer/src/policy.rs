//! [`Balancer`] holds the components and passes each event to the policy that decides about it.
//!
//! The policies are the files of `policy/`; no other file reaches the components. The ordinary path
//! is that of `docs/design.md`, and each departure from it says what it guards against.

mod attempt_result;
mod dispatch;
mod endpoint_poller;
mod endpoints;
mod failure_detector;
mod gossip;
mod health_check;
pub(crate) mod health_check_trust;
mod load_check;
mod load_shedding;
pub(crate) mod load_source;
mod pick;
mod retry;
mod retry_budget;
mod slow_start;
mod slow_start_admission;
mod subset;
pub(crate) mod subset_size;
mod subsetter;
#[cfg(test)]
mod test_support;

use crate::fleet::Fleet;
use crate::policy::endpoint_poller::EndpointPoller;
use crate::policy::retry_budget::RetryBudget;
use crate::policy::slow_start_admission::SlowStartAdmission;
use crate::policy::subsetter::Subsetter;
use crate::state::{GossipQueue, HealthCheckSchedule, InFlightAttempt, RequestTable, ServerIndex};
use crate::{Action, Actions, Event, Micros, Outcome, RequestId, Settings, SettingsError};

/// Time between two ticks, in microseconds: well below any latency objective.
const TICK_INTERVAL: Micros = 25_000;
/// Token of the timer that ticks.
const TICK_TOKEN: u64 = 0;
/// Token of the timers of requests.
const REQUEST_TIMER_TOKEN: u64 = 1;

/// Decides for one sidecar. Instances share nothing.
pub struct Balancer {
    fleet: Fleet,
    rng: fastrand::Rng,
    started: bool,
    endpoint_poller: EndpointPoller,
    subsetter: Subsetter,
    slow_start_admission: SlowStartAdmission,
    requests: RequestTable,
    retry_budget: RetryBudget,
    health_checks: HealthCheckSchedule,
    gossip: GossipQueue,
}

impl Balancer {
    /// A balancer that knows nothing yet; equal seeds and events give equal actions.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            fleet: Fleet::new(settings),
            rng: fastrand::Rng::with_seed(seed),
            started: false,
            endpoint_poller: EndpointPoller::default(),
            subsetter: Subsetter::default(),
            slow_start_admission: SlowStartAdmission::new(),
            requests: RequestTable::default(),
            retry_budget: RetryBudget::new(),
            health_checks: HealthCheckSchedule::default(),
            gossip: GossipQueue::default(),
        })
    }

    /// Takes in one event and pushes what is to be done about it. `now` is in microseconds; a time
    /// before that of an earlier event counts as the earlier one's.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.fleet.now = self.fleet.now.max(now);
        if !self.started {
            self.on_first_event(now, actions);
        }
        match event {
            Event::EndpointsUpdated {
                kind,
                version,
                endpoints,
            } => {
                self.on_endpoints_updated(kind, version, endpoints, actions);
            }
            Event::RequestArrived(request) => self.on_request_arrived(&request, actions),
            Event::ResponseStarted { request } => self.on_response_started(request),
            Event::AttemptEnded(end) => self.on_attempt_ended(&end, actions),
            Event::ClientDisconnected { request } => self.finish(request, actions),
            Event::TimerFired { token: TICK_TOKEN } => self.on_tick(actions),
            Event::TimerFired { .. } => self.on_request_timer(actions),
            Event::HealthCheckEnded {
                server,
                outcome,
                load_report,
            } => {
                self.on_health_check_ended(
                    server,
                    outcome == Outcome::Served,
                    load_report,
                    actions,
                );
            }
            Event::GossipReceived { from, message } => {
                self.on_gossip_received(from, &message, actions)
            }
        }
    }

    fn on_first_event(&mut self, now: Micros, actions: &mut Actions) {
        self.started = true;
        self.schedule_first_health_check(now);
        actions.push(Action::SetTimer {
            token: TICK_TOKEN,
            after: TICK_INTERVAL,
        });
        if self.fleet.settings.polling.required {
            self.poll_endpoints(actions);
        }
    }

    fn on_tick(&mut self, actions: &mut Actions) {
        actions.push(Action::SetTimer {
            token: TICK_TOKEN,
            after: TICK_INTERVAL,
        });
        let subset = self.subsetter.ready_servers(&self.fleet);
        self.slow_start_admission.on_tick(&self.fleet, subset);
        for server_index in self.fleet.servers.indices() {
            self.check_suspicion(server_index, actions);
        }
        if self.fleet.settings.host.health_checks && self.health_checks.is_due(self.fleet.now) {
            self.run_scheduled_health_check(actions);
        }
        if self.endpoint_poller.is_due(self.fleet.now) {
            self.poll_endpoints(actions);
        }
    }

    fn on_response_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.on_response_started();
        }
    }

    /// Dispatches the requests whose timers are due.
    fn on_request_timer(&mut self, actions: &mut Actions) {
        while let Some(id) = self.requests.take_due(self.fleet.now) {
            self.dispatch(id, actions);
        }
    }

    /// Dispatches a request after this time, unless it is sent before.
    fn set_request_timer(&mut self, id: RequestId, after: Micros, actions: &mut Actions) {
        self.requests.set_timer(id, self.fleet.now + after);
        actions.push(Action::SetTimer {
            token: REQUEST_TIMER_TOKEN,
            after,
        });
    }

    /// A server responded to an attempt, or timed out although it serves others.
    fn on_response(&mut self, server_index: ServerIndex, attempt: &InFlightAttempt) {
        let objective = self
            .requests
            .get(attempt.request)
            .map(|request| request.objective());
        let server = &mut self.fleet.servers[server_index];
        self.fleet.estimators.on_response(
            server,
            attempt,
            objective,
            self.fleet.now,
            &self.fleet.settings,
        );
    }
}
