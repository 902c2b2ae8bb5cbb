//! Combines the balancer with the work estimator. Every host (sidecar, adapter, testbed) runs this
//! type instead of [`Balancer`] itself, so that all of them run the same code.
//!
//! A request that arrives without a work hint gets
//!
//! ```text
//! work hint = max(1 us, WORK_HINT_FRACTION * expected work of its class)
//! ```
//!
//! or none while the estimator has no expected work. For each attempt that the balancer sends, the
//! state of the server is saved, and for each served attempt it is passed to the estimator together
//! with the response time. A request is removed with its final response.
//!
//! This module links requests and their attempts to the saved states. [`WorkEstimator`] owns the
//! estimates and [`Balancer`] the decisions.

use std::collections::BTreeMap;

use arrowstand_balancer::{
    Action, AttemptEnd, Balancer, ClassId, Event, IncomingRequest, Micros, Outcome, RequestId,
    Settings, SettingsError,
};

use crate::convert::{f64_from_micros, truncate_to_micros};
use crate::work_estimator::{SendContext, WorkEstimator};

/// Work hint of a request as a fraction of the mean work of its class.
///
/// Hints are otherwise only compared with each other, so the fraction affects a single decision:
/// the balancer immediately rejects a request whose hint exceeds its remaining time. A fraction of
/// 1 rejected many requests with little time left that would have been served in time, because most
/// requests need far less work than the mean; with exponentially distributed work, a fifth need
/// less than a quarter of the mean. A smaller fraction sends requests that cannot be served in
/// time. See `docs/losses.md`, on clients with little time.
const WORK_HINT_FRACTION: f64 = 0.25;

/// A request without a final response.
struct OpenRequest {
    class: ClassId,
    /// State of the server at each attempt, in the order in which the attempts were sent.
    attempts: Vec<SendContext>,
}

/// A balancer that derives missing work hints from the estimated work of the request class.
pub struct WorkAwareBalancer {
    balancer: Balancer,
    work_estimator: WorkEstimator,
    open_requests: BTreeMap<RequestId, OpenRequest>,
}

impl WorkAwareBalancer {
    /// Creates a balancer as [`Balancer::new`] does.
    ///
    /// # Errors
    /// Returns the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let work_estimator = WorkEstimator::new(settings.classes.len());
        Ok(Self {
            balancer: Balancer::new(settings, seed)?,
            work_estimator,
            open_requests: BTreeMap::new(),
        })
    }

    /// Handles one event and appends the resulting actions. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Micros, mut event: Event, actions: &mut Vec<Action>) {
        self.prepare_event(now, &mut event);
        let previous_actions = actions.len();
        self.balancer.handle(now, event, actions);
        for action in actions.iter().skip(previous_actions) {
            self.observe_action(now, action);
        }
    }

    fn prepare_event(&mut self, now: Micros, event: &mut Event) {
        match event {
            Event::RequestArrived(request) => self.on_request_arrived(request),
            Event::AttemptEnded(end) => self.on_attempt_ended(end),
            Event::ClientDisconnected { request } => {
                self.open_requests.remove(request);
            }
            Event::HealthCheckEnded {
                server,
                load_report: Some(report),
                ..
            } => self.work_estimator.on_load_report(now, *server, *report),
            _ => {}
        }
    }

    fn on_request_arrived(&mut self, request: &mut IncomingRequest) {
        let expected = self.work_estimator.expected_work(request.class);
        // A hint from the client takes precedence over the estimate.
        request.work_hint = request.work_hint.or(expected.map(hint_from_expected_work));
        self.open_requests.insert(
            request.id,
            OpenRequest {
                class: request.class,
                attempts: Vec::new(),
            },
        );
    }

    fn on_attempt_ended(&mut self, end: &AttemptEnd) {
        if end.outcome == Outcome::Served
            && let Some(open) = self.open_requests.get(&end.request)
            && let Some(context) = send_context(open, end.attempt)
        {
            self.work_estimator
                .on_attempt_served(open.class, context, end.elapsed);
        }
        if end.request_finished {
            self.open_requests.remove(&end.request);
        }
    }

    fn observe_action(&mut self, now: Micros, action: &Action) {
        match action {
            Action::Send {
                request, server, ..
            } => {
                if let Some(open) = self.open_requests.get_mut(request) {
                    let context = self.work_estimator.on_attempt_started(now, *server);
                    open.attempts.push(context);
                }
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.open_requests.remove(request);
            }
            _ => {}
        }
    }

    /// The estimates of work and latency.
    pub fn work_estimator(&self) -> &WorkEstimator {
        &self.work_estimator
    }
}

/// Work hint of a request whose class has the given expected work; at least 1 us.
fn hint_from_expected_work(expected_work: Micros) -> Micros {
    truncate_to_micros(f64_from_micros(expected_work) * WORK_HINT_FRACTION).max(1)
}

/// State of the server when an attempt was sent; attempts are numbered from 0.
fn send_context(request: &OpenRequest, attempt: u32) -> Option<&SendContext> {
    let index = usize::try_from(attempt).ok()?;
    request.attempts.get(index)
}

#[cfg(test)]
mod tests;
