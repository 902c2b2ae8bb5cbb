//! Random scripts of events, checked for the rules that every request keeps.

use std::collections::BTreeMap;

use crate::common::{Driver, MS, endpoint, endpoint_changed, settings};
use arrowstand_balancer::{
    Action, AttemptEnd, ClassId, Endpoint, EndpointStatus, Event, Fees, HostCapabilities,
    Idempotency, IncomingRequest, LoadReport, Micros, Outcome, RequestId, ServerId, Settings,
};

const SERVERS: usize = 6;
/// Time that a client waits.
const CLIENT_TIMEOUT: Micros = 600 * MS;
/// A request may be answered this much after its client's timeout.
const TOLERANCE: Micros = 30 * MS;

/// An attempt as the script saw it.
struct ScriptAttempt {
    server: ServerId,
    sent_at: Micros,
    outcome: Option<Outcome>,
}

impl ScriptAttempt {
    fn may_have_executed(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_executed())
    }
}

/// A request without its final response, kept apart from the balancer.
struct OpenRequest {
    class: usize,
    deadline: Micros,
    attempts: Vec<ScriptAttempt>,
}

/// An attempt in flight.
#[derive(Clone, Copy, PartialEq)]
struct InFlight {
    request: RequestId,
    attempt: u32,
    server: ServerId,
}

struct Script {
    rng: fastrand::Rng,
    settings: Settings,
    driver: Driver,
    open: BTreeMap<RequestId, OpenRequest>,
    in_flight: Vec<InFlight>,
    /// Servers that must get no request.
    barred: [bool; SERVERS],
    removed: [bool; SERVERS],
}

impl Script {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (gossip, load_reports) = (rng.bool(), rng.bool());
        let settings = Settings {
            host: HostCapabilities {
                gossip,
                load_reports,
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
    fn step(&mut self) {
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
        let finished = !self.open.contains_key(&request) || outcome == Outcome::Served;
        if finished {
            self.open.remove(&request);
        }
        let end = AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            finished,
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

    fn check_all(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send {
                    request, server, ..
                } => self.check_send(*request, *server),
                Action::Reject { request, .. } => self.check_rejection(*request),
                Action::Fail { request } => {
                    self.open.remove(request).expect("a second answer");
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, request: RequestId, server: ServerId) {
        let now = self.driver.now;
        let open = self
            .open
            .get_mut(&request)
            .expect("sent for a finished request");
        assert!(!self.barred[server.0 as usize], "sent to a drained server");
        assert!(open.attempts.len() < self.settings.retries.max_attempts as usize);
        if let Some(first) = open
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_executed())
        {
            let class = &self.settings.classes[open.class];
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::IdempotencyKey => {
                    assert_eq!(first.server.0 / 2, server.0 / 2, "left the cell");
                    assert!(
                        now < first.sent_at + class.deduplication_window,
                        "window closed"
                    );
                }
                Idempotency::NonIdempotent => panic!("an effect may happen twice"),
            }
        }
        self.in_flight.push(InFlight {
            request,
            attempt: open.attempts.len() as u32,
            server,
        });
        open.attempts.push(ScriptAttempt {
            server,
            sent_at: now,
            outcome: None,
        });
    }

    fn check_rejection(&mut self, request: RequestId) {
        let open = self.open.remove(&request).expect("a second answer");
        let idempotent = self.settings.classes[open.class].idempotency == Idempotency::Idempotent;
        let may_have_executed = open.attempts.iter().any(ScriptAttempt::may_have_executed);
        assert!(
            idempotent || !may_have_executed,
            "refused what may have run"
        );
    }

    fn overdue(&self) -> usize {
        self.open
            .values()
            .filter(|request| request.deadline + TOLERANCE < self.driver.now)
            .count()
    }
}

#[test]
fn random_events_keep_the_rules_of_requests() {
    for seed in 0..40 {
        let mut script = Script::new(seed);
        for _ in 0..3_000 {
            script.step();
            assert_eq!(
                script.overdue(),
                0,
                "seed {seed}: a request without its answer"
            );
        }
    }
}
