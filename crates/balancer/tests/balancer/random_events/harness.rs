//! Generates random events for a balancer and tracks requests independently of it.

use std::collections::BTreeMap;

use crate::common::{
    Driver, MS, REQUEST_TIMER_TOKEN, TICK_TIMER_TOKEN, endpoint, endpoint_changed, settings,
};
use arrowstand_balancer::{
    AttemptEnd, ClassId, Endpoint, EndpointStatus, Event, Fees, HostCapabilities, IncomingRequest,
    LoadReport, Micros, Outcome, RequestId, ServerId, Settings,
};

const SERVER_COUNT: usize = 6;
/// Time that clients wait.
const DEADLINE: Micros = 600 * MS;

/// An attempt, as tracked by the harness.
pub(super) struct TrackedAttempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Micros,
    /// `None` while the attempt is in flight.
    pub(super) outcome: Option<Outcome>,
}

impl TrackedAttempt {
    pub(super) fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_executed())
    }
}

/// A request without a final response, as tracked by the harness.
pub(super) struct TrackedRequest {
    pub(super) class: usize,
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<TrackedAttempt>,
}

/// Identifies an attempt in flight and its server.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct InFlightAttempt {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) server: ServerId,
}

/// A balancer under random events, with the expected state of its requests and servers.
pub(super) struct Harness {
    pub(super) rng: fastrand::Rng,
    pub(super) settings: Settings,
    pub(super) driver: Driver,
    pub(super) open_requests: BTreeMap<RequestId, TrackedRequest>,
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// Servers that must not be sent any request, by server identifier.
    pub(super) excluded: [bool; SERVER_COUNT],
    /// Servers whose latest status is removed, by server identifier.
    pub(super) removed: [bool; SERVER_COUNT],
}

impl Harness {
    /// Creates a balancer with random capabilities of its host.
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (gossip, load_reports) = (rng.bool(), rng.bool());
        let settings = Settings {
            host: HostCapabilities {
                gossip,
                load_reports_in_health_checks: load_reports,
                ..settings().host
            },
            fees: Fees {
                health_check: 0.001,
                ..settings().fees
            },
            ..settings()
        };
        Self {
            rng,
            driver: Driver::new(settings.clone(), SERVER_COUNT as u32),
            settings,
            open_requests: BTreeMap::new(),
            in_flight: Vec::new(),
            excluded: [false; SERVER_COUNT],
            removed: [false; SERVER_COUNT],
        }
    }

    /// Passes one random event to the balancer, then ends the attempts whose deadline has passed.
    pub(super) fn step(&mut self) {
        self.driver.now += self.rng.u64(0..8) * MS;
        let event = match self.rng.u32(0..10) {
            0..=2 => self.request_arrived(),
            3..=5 if !self.in_flight.is_empty() => self.attempt_ended(),
            6 => self.health_check_ended(),
            7 => self.endpoint_updated(),
            8 => Event::TimerFired {
                token: TICK_TIMER_TOKEN,
            },
            _ => Event::TimerFired {
                token: REQUEST_TIMER_TOKEN,
            },
        };
        let actions = self.driver.handle(event);
        self.check_actions(&actions);
        self.time_out_attempts();
    }

    fn request_arrived(&mut self) -> Event {
        let class = self.rng.u16(0..3);
        let id = RequestId(1_000_000 + self.rng.u64(..1 << 40));
        let deadline = self.driver.now + DEADLINE;
        self.open_requests.insert(
            id,
            TrackedRequest {
                class: class.into(),
                deadline,
                attempts: Vec::new(),
            },
        );
        let class = ClassId(class);
        Event::RequestArrived(IncomingRequest {
            id,
            class,
            time_left: DEADLINE,
            work_hint: None,
        })
    }

    fn attempt_ended(&mut self) -> Event {
        let index = self.rng.usize(0..self.in_flight.len());
        let InFlightAttempt {
            request,
            attempt,
            server,
        } = self.in_flight.swap_remove(index);
        let responses = [
            Outcome::Served,
            Outcome::Served,
            Outcome::ServerError,
            Outcome::Rejected,
        ];
        let connection_failures = [Outcome::ConnectFailed, Outcome::Reset];
        let outcome = if self.rng.bool() {
            responses[self.rng.usize(0..4)]
        } else {
            connection_failures[self.rng.usize(0..2)]
        };
        self.record_outcome(request, attempt, outcome);
        let request_finished =
            !self.open_requests.contains_key(&request) || outcome == Outcome::Served;
        if request_finished {
            self.open_requests.remove(&request);
        }
        let end = AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            request_finished,
            elapsed: MS,
            load_report: None,
        };
        Event::AttemptEnded(end)
    }

    fn health_check_ended(&mut self) -> Event {
        let server = ServerId(self.rng.u32(0..SERVER_COUNT as u32));
        let outcome = if self.rng.bool() {
            Outcome::Served
        } else {
            Outcome::TimedOut
        };
        let has_load_report = self.rng.bool();
        let load_report = has_load_report.then(|| LoadReport {
            in_flight: self.rng.f64() * 9.0,
            queued: 0.0,
        });
        Event::HealthCheckEnded {
            server,
            outcome,
            load_report,
        }
    }

    fn endpoint_updated(&mut self) -> Event {
        let n = self.rng.u32(0..SERVER_COUNT as u32);
        let server = n as usize;
        let statuses = [
            EndpointStatus::Ready,
            EndpointStatus::Draining,
            EndpointStatus::Removed,
        ];
        let status = statuses[self.rng.usize(0..3)];
        let is_restarted = self.rng.bool() && status == EndpointStatus::Ready;
        let incarnation = is_restarted.then_some(self.driver.now);
        // A draining server stays excluded until it restarts or is removed. After a removal it
        // counts as a new server.
        let is_new = is_restarted || self.removed[server];
        self.excluded[server] =
            status != EndpointStatus::Ready || (self.excluded[server] && !is_new);
        self.removed[server] = status == EndpointStatus::Removed;
        endpoint_changed(Endpoint {
            status,
            incarnation,
            ..endpoint(n)
        })
    }

    fn record_outcome(&mut self, request: RequestId, attempt: u32, outcome: Outcome) {
        if let Some(tracked) = self.open_requests.get_mut(&request) {
            tracked.attempts[attempt as usize].outcome = Some(outcome);
        }
    }

    /// Ends the attempts in flight as timed out whose request has passed its deadline.
    fn time_out_attempts(&mut self) {
        let now = self.driver.now;
        let is_overdue = |attempt: &InFlightAttempt| {
            self.open_requests
                .get(&attempt.request)
                .is_some_and(|request| request.deadline <= now)
        };
        let overdue: Vec<InFlightAttempt> =
            self.in_flight.iter().copied().filter(is_overdue).collect();
        for ended in overdue {
            self.in_flight.retain(|other| *other != ended);
            self.record_outcome(ended.request, ended.attempt, Outcome::TimedOut);
            let InFlightAttempt {
                request,
                attempt,
                server,
            } = ended;
            let actions = self
                .driver
                .end_attempt(request, attempt, server, Outcome::TimedOut);
            self.check_actions(&actions);
        }
    }
}
