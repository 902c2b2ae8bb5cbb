//! The balancer with what stands beside it: what a request costs is learnt from what passes, and told to the
//! module with each request. Every host (sidecar, adapter, lab) holds one of these in place of a bare balancer,
//! so that all of them judge the same code.

use std::collections::BTreeMap;

use arrowstand_balancer::{
    Action, Balancer, ClassId, Event, Micros, Outcome, RequestId, Settings, SettingsError,
};

use crate::work_estimator::{SendSample, WorkEstimator};

/// Part of a class's mean work that is told as a request's size. Sizes count against each other, so the part
/// changes no decision but one: the module turns a request away at once whose size is more than its time left.
/// Guards against turning away hurried requests of which many would have been served, as most works lie far
/// below the mean: of exponential ones a fifth lie below a quarter of it.
const LEAST: f64 = 0.25;

/// A request that is open: its class, and its attempts in the order of the sends.
struct Open {
    class: ClassId,
    sent: Vec<SendSample>,
}

/// A balancer that is told the expected work of each request.
pub struct WorkAwareBalancer {
    balancer: Balancer,
    work: WorkEstimator,
    open: BTreeMap<RequestId, Open>,
}

impl WorkAwareBalancer {
    /// As [`Balancer::new`].
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let work = WorkEstimator::new(settings.classes.len());
        Ok(Self {
            balancer: Balancer::new(settings, seed)?,
            work,
            open: BTreeMap::new(),
        })
    }

    /// Takes in one event and pushes what is to be done about it.
    pub fn handle(&mut self, now: Micros, mut event: Event, acts: &mut Vec<Action>) {
        match &mut event {
            Event::RequestArrived(call) => {
                // What the host was told by the client wins over what was learnt.
                let learnt = self.work.expected_work(call.class);
                call.work_hint = call
                    .work_hint
                    .or(learnt.map(|w| ((w as f64 * LEAST) as Micros).max(1)));
                self.open.insert(
                    call.id,
                    Open {
                        class: call.class,
                        sent: Vec::new(),
                    },
                );
            }
            Event::AttemptEnded(end) => {
                if end.outcome == Outcome::Served
                    && let Some(open) = self.open.get(&end.request)
                    && let Some(sent) = open.sent.get(end.attempt as usize)
                {
                    self.work.on_attempt_served(open.class, sent, end.elapsed);
                }
                if end.finished {
                    self.open.remove(&end.request);
                }
            }
            Event::ClientDisconnected { request } => {
                self.open.remove(request);
            }
            Event::HealthCheckEnded {
                server,
                load_report: Some(report),
                ..
            } => self.work.on_load_report(now, *server, *report),
            _ => {}
        }
        let before = acts.len();
        self.balancer.handle(now, event, acts);
        for action in acts.iter().skip(before) {
            match action {
                Action::Send {
                    request, server, ..
                } => {
                    if let Some(open) = self.open.get_mut(request) {
                        open.sent.push(self.work.on_attempt_started(now, *server));
                    }
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.open.remove(request);
                }
                _ => {}
            }
        }
    }

    /// What was learnt of the work.
    pub fn work(&self) -> &WorkEstimator {
        &self.work
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use arrowstand_balancer::{
        AttemptEnd, Endpoint, Idempotency, IncomingRequest, LoadReport, RequestClass, ServerId,
        UpdateKind,
    };

    /// A balancer that has learnt that its requests take 30 ms.
    fn informed() -> (WorkAwareBalancer, Micros) {
        let mut settings = Settings {
            load_reports: true,
            health_check_fee: 0.001,
            ..Settings::default()
        };
        settings
            .classes
            .push(RequestClass::new(Idempotency::Idempotent, 150_000, 600_000));
        let mut informed = WorkAwareBalancer::new(settings, 7).expect("valid");
        let member = Endpoint::ready(ServerId(0), 1);
        let list = Event::EndpointsUpdated {
            kind: UpdateKind::Full,
            version: 1,
            endpoints: vec![member],
        };
        informed.handle(0, list, &mut Vec::new());
        let mut now = 0;
        for id in 0..60 {
            now += 100_000;
            assert!(
                ask(&mut informed, now, id, 600_000),
                "request {id} goes out"
            );
            now += 30_000;
            let (request, server, report) = (RequestId(id), ServerId(0), None);
            let (attempt, outcome, finished, elapsed) = (0, Outcome::Served, true, 30_000);
            let end = AttemptEnd {
                request,
                attempt,
                server,
                outcome,
                finished,
                elapsed,
                load_report: report,
            };
            informed.handle(now, Event::AttemptEnded(end), &mut Vec::new());
        }
        (informed, now + 100_000)
    }

    /// Asks, answers the look for load, and tells whether the request was sent.
    fn ask(informed: &mut WorkAwareBalancer, now: Micros, id: u64, time_left: Micros) -> bool {
        let mut acts = Vec::new();
        let call = IncomingRequest {
            id: RequestId(id),
            class: ClassId(0),
            time_left,
            work_hint: None,
        };
        informed.handle(now, Event::RequestArrived(call), &mut acts);
        let report = Some(LoadReport {
            in_flight: 0.0,
            queued: 0.0,
        });
        let probed = Event::HealthCheckEnded {
            server: ServerId(0),
            outcome: Outcome::Served,
            load_report: report,
        };
        informed.handle(now, probed, &mut acts);
        acts.iter().any(|a| matches!(a, Action::Send { .. }))
    }

    #[test]
    fn a_hurried_request_is_tried_unless_there_is_next_to_no_time() {
        let (mut informed, now) = informed();
        assert!(
            informed
                .work()
                .expected_work(ClassId(0))
                .is_some_and(|w| (29_000..31_000).contains(&w))
        );
        assert!(ask(&mut informed, now, 1_000, 20_000));
        assert!(!ask(&mut informed, now + 1_000_000, 1_001, 5_000));
        assert!(
            informed.open.len() <= 1,
            "what was turned away is forgotten"
        );
    }
}
