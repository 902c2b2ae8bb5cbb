//! A script of random events, and what it knows of its requests apart from the balancer.

use std::collections::BTreeMap;

use crate::common::{Driver, MS, endpoint, endpoint_changed, settings};
use arrowstand_balancer::{
    AttemptEnd, ClassId, Endpoint, EndpointStatus, Event, Fees, HostCapabilities, IncomingRequest,
    LoadReport, Micros, Outcome, RequestId, ServerId, Settings,
};

const SERVERS: usize = 6;
/// Time that a client waits.
const CLIENT_TIMEOUT: Micros = 600 * MS;

/// An attempt as the script saw it.
pub(super) struct ScriptAttempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Micros,
    pub(super) outcome: Option<Outcome>,
}

impl ScriptAttempt {
    pub(super) fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_executed())
    }
}

/// A request without its final response, kept apart from the balancer.
pub(super) struct OpenRequest {
    pub(super) class: usize,
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<ScriptAttempt>,
}

/// An attempt in flight.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct InFlight {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) server: ServerId,
}

pub(super) struct Script {
    pub(super) rng: fastrand::Rng,
    pub(super) settings: Settings,
    pub(super) driver: Driver,
    pub(super) open: BTreeMap<RequestId, OpenRequest>,
    pub(super) in_flight: Vec<InFlight>,
    /// Servers that must get no request.
    pub(super) barred: [bool; SERVERS],
    pub(super) removed: [bool; SERVERS],
}

impl Script {
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
            driver: Driver::new(settings.clone(), SERVERS as u32),
            settings,
            open: BTreeMap::new(),
            in_flight: Vec::new(),
            barred: [false; SERVERS],
            removed: [false; SERVERS],
        }
    }

    /// One random event, and what has run out of time by then.
    pub(super) fn step(&mut self) {
        self.driver.now += self.rng.u64(0..8) * MS;
        let event = match self.rng.u32(0..10) {
            0..=2 => self.request_arrived(),
            3..=5 if !self.in_flight.is_empty() => self.attempt_ended(),
            6 => self.health_check_ended(),
            7 => self.endpoint_updated(),
            8 => Event::TimerFired { token: 0 },
            _ => Event::TimerFired { token: 1 },
        };
        let actions = self.driver.handle(event);
        self.check_all(&actions);
        self.time_out_attempts();
    }

    fn request_arrived(&mut self) -> Event {
        let class = self.rng.u16(0..3);
        let id = RequestId(1_000_000 + self.rng.u64(..1 << 40));
        let deadline = self.driver.now + CLIENT_TIMEOUT;
        self.open.insert(
            id,
            OpenRequest {
                class: class.into(),
                deadline,
                attempts: Vec::new(),
            },
        );
        let class = ClassId(class);
        Event::RequestArrived(IncomingRequest {
            id,
            class,
            time_left: CLIENT_TIMEOUT,
            work_hint: None,
        })
    }

    fn attempt_ended(&mut self) -> Event {
        let index = self.rng.usize(0..self.in_flight.len());
        let InFlight {
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
        let request_finished = !self.open.contains_key(&request) || outcome == Outcome::Served;
        if request_finished {
            self.open.remove(&request);
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
        let server = ServerId(self.rng.u32(0..SERVERS as u32));
        let outcome = if self.rng.bool() {
            Outcome::Served
        } else {
            Outcome::TimedOut
        };
        let reported = self.rng.bool();
        let load_report = reported.then(|| LoadReport {
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
        let n = self.rng.u32(0..SERVERS as u32);
        let server = n as usize;
        let statuses = [
            EndpointStatus::Ready,
            EndpointStatus::Draining,
            EndpointStatus::Removed,
        ];
        let status = statuses[self.rng.usize(0..3)];
        let restart = self.rng.bool() && status == EndpointStatus::Ready;
        let incarnation = restart.then_some(self.driver.now);
        // Listed anew after it was removed, a server is a new one; a mere drain binds until a
        // restart.
        let back = restart || self.removed[server];
        self.barred[server] = status != EndpointStatus::Ready || (self.barred[server] && !back);
        self.removed[server] = status == EndpointStatus::Removed;
        endpoint_changed(Endpoint {
            status,
            incarnation,
            ..endpoint(n)
        })
    }

    fn record_outcome(&mut self, request: RequestId, attempt: u32, outcome: Outcome) {
        if let Some(open) = self.open.get_mut(&request) {
            open.attempts[attempt as usize].outcome = Some(outcome);
        }
    }

    /// What has run out of time ends as timed out, on time.
    fn time_out_attempts(&mut self) {
        let now = self.driver.now;
        let is_late = |attempt: &InFlight| {
            self.open
                .get(&attempt.request)
                .is_some_and(|request| request.deadline <= now)
        };
        let late: Vec<InFlight> = self.in_flight.iter().copied().filter(is_late).collect();
        for ended in late {
            self.in_flight.retain(|other| *other != ended);
            self.record_outcome(ended.request, ended.attempt, Outcome::TimedOut);
            let InFlight {
                request,
                attempt,
                server,
            } = ended;
            let actions = self
                .driver
                .end_attempt(request, attempt, server, Outcome::TimedOut);
            self.check_all(&actions);
        }
    }
}
