//! The balancer together with the work estimator. Every host (sidecar, adapter, testbed) runs this
//! type in place of a bare [`Balancer`], so that all of them run the same code.
//!
//! An arriving request that brings no work hint of its own gets
//!
//! ```text
//! work hint = max(1 us, WORK_HINT_FRACTION * expected work of its class)
//! ```
//!
//! and none while the estimator knows no expected work. Each attempt that the balancer sends takes
//! a sample of its server's queue, and each attempt that was served hands its sample and its
//! response time to the estimator. A request is forgotten with its final response.
//!
//! Owns the link between requests, their attempts and the samples; the estimates are owned by
//! [`WorkEstimator`], the decisions by [`Balancer`].

use std::collections::BTreeMap;

use arrowstand_balancer::{
    Action, AttemptEnd, Balancer, ClassId, Event, IncomingRequest, Micros, Outcome, RequestId,
    Settings, SettingsError,
};

use crate::convert::{f64_from_micros, truncate_to_micros};
use crate::work_estimator::{SendSample, WorkEstimator};

/// Fraction of the mean work of a class that becomes the work hint of a request; no unit.
///
/// Hints are compared with each other, so the fraction changes only one decision: the balancer
/// rejects a request at once whose hint exceeds its time left. With 1, requests with little time
/// left were rejected of which many would have been served, as most works lie far below the mean;
/// of exponential works a fifth lie below a quarter of it. Smaller fractions send requests that
/// cannot be served in time. Source: `docs/losses.md`, on clients with little time.
const WORK_HINT_FRACTION: f64 = 0.25;

/// A request without a final response: its class, and a sample for each attempt in the order of the
/// sends.
struct OpenRequest {
    class: ClassId,
    attempts: Vec<SendSample>,
}

/// A balancer whose requests carry the expected work of their class.
pub struct WorkAwareBalancer {
    balancer: Balancer,
    work: WorkEstimator,
    open_requests: BTreeMap<RequestId, OpenRequest>,
}

impl WorkAwareBalancer {
    /// Creates a balancer as [`Balancer::new`] does.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let work = WorkEstimator::new(settings.classes.len());
        Ok(Self {
            balancer: Balancer::new(settings, seed)?,
            work,
            open_requests: BTreeMap::new(),
        })
    }

    /// Handles one event and appends the resulting actions. `now` never falls from one call to the
    /// next.
    pub fn handle(&mut self, now: Micros, mut event: Event, actions: &mut Vec<Action>) {
        self.before_balancer(now, &mut event);
        let already_there = actions.len();
        self.balancer.handle(now, event, actions);
        for action in actions.iter().skip(already_there) {
            self.on_action(now, action);
        }
    }

    fn before_balancer(&mut self, now: Micros, event: &mut Event) {
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
            } => self.work.on_load_report(now, *server, *report),
            _ => {}
        }
    }

    fn on_request_arrived(&mut self, request: &mut IncomingRequest) {
        let expected = self.work.expected_work(request.class);
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
            && let Some(sent) = sample_of_attempt(open, end.attempt)
        {
            self.work.on_attempt_served(open.class, sent, end.elapsed);
        }
        if end.request_finished {
            self.open_requests.remove(&end.request);
        }
    }

    fn on_action(&mut self, now: Micros, action: &Action) {
        match action {
            Action::Send {
                request, server, ..
            } => {
                if let Some(open) = self.open_requests.get_mut(request) {
                    let sample = self.work.on_attempt_started(now, *server);
                    open.attempts.push(sample);
                }
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.open_requests.remove(request);
            }
            _ => {}
        }
    }

    /// The estimates of work and latency.
    pub fn work(&self) -> &WorkEstimator {
        &self.work
    }
}

/// The hint of a request whose class takes that much work on average; never zero.
fn hint_from_expected_work(work: Micros) -> Micros {
    truncate_to_micros(f64_from_micros(work) * WORK_HINT_FRACTION).max(1)
}

/// What was known as an attempt of a request was sent; attempts are numbered from 0.
fn sample_of_attempt(request: &OpenRequest, attempt: u32) -> Option<&SendSample> {
    let index = usize::try_from(attempt).ok()?;
    request.attempts.get(index)
}

#[cfg(test)]
mod tests;
