//! Fixtures for the unit tests of the policies: settings, a fleet and requests.

use crate::fleet::Fleet;
use crate::policy::ejection::EjectionDecision;
use crate::state::{InFlightAttempt, RequestState, ServerIndex};
use crate::{
    ClassId, EjectionCause, Endpoint, Idempotency, IncomingRequest, Micros, Outcome, RequestClass,
    RequestId, ServerId, Settings,
};

/// Current time of the fleet in microseconds, long after all servers started.
pub(crate) const NOW: Micros = 100_000_000;
/// One millisecond, in microseconds.
pub(crate) const MS: Micros = 1_000;
/// Index of the first server.
pub(crate) const FIRST: ServerIndex = ServerIndex(0);
/// Index of the second server.
pub(crate) const SECOND: ServerIndex = ServerIndex(1);

/// Settings with the class that [`class`] returns.
pub(crate) fn settings() -> Settings {
    Settings {
        classes: vec![class()],
        ..Settings::default()
    }
}

/// [`settings`] for four balancers that exchange gossip messages.
pub(crate) fn settings_with_peers() -> Settings {
    let mut settings = settings();
    settings.host.gossip = true;
    settings.identity.count = 4;
    settings
}

/// [`settings`] where a request is preceded by load checks.
pub(crate) fn settings_with_load_checks() -> Settings {
    let mut settings = settings();
    settings.host.load_reports_in_health_checks = true;
    settings.fees.health_check = 0.001;
    settings
}

/// [`settings`] where responses carry load reports.
pub(crate) fn settings_with_load_in_responses() -> Settings {
    let mut settings = settings();
    settings.host.load_reports_in_responses = true;
    settings
}

/// An idempotent class with a latency objective of 250 ms and a deadline of 600 ms.
pub(crate) fn class() -> RequestClass {
    RequestClass::new(Idempotency::Idempotent, 250 * MS, 600 * MS)
}

/// A fleet at [`NOW`] of the given number of warm servers, with identifiers from 0.
pub(crate) fn fleet(settings: Settings, servers: u32) -> Fleet {
    let mut fleet = Fleet::new(settings);
    fleet.now = NOW;
    for n in 0..servers {
        let endpoint = Endpoint::ready(ServerId(n), u64::from(n));
        fleet.servers.merge(endpoint, NOW, 0);
    }
    fleet
}

/// A [`fleet`] whose only request class is the given one.
pub(crate) fn fleet_with_class(class: RequestClass, servers: u32) -> Fleet {
    let mut settings = settings();
    settings.classes = vec![class];
    fleet(settings, servers)
}

/// Marks a server as started just now, so that it is in slow start.
pub(crate) fn restart(fleet: &mut Fleet, server: ServerIndex) {
    let duration = fleet.settings.slow_start.duration;
    let now = fleet.now;
    fleet.servers[server]
        .slow_start
        .on_started(now, now, duration);
}

/// An incoming request of class 0.
pub(crate) fn incoming_request(time_left: Micros, work_hint: Option<Micros>) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(1),
        class: ClassId(0),
        time_left,
        work_hint,
    }
}

/// A request of class 0 and average work that arrived just now.
pub(crate) fn request(fleet: &Fleet) -> RequestState {
    request_with_work(fleet, 1.0)
}

/// A request of class 0 that arrived just now; `relative_work` is relative to that of an average
/// request.
pub(crate) fn request_with_work(fleet: &Fleet, relative_work: f64) -> RequestState {
    let class = &fleet.settings.classes[0];
    let incoming = incoming_request(class.deadline, None);
    RequestState::new(&incoming, class, relative_work, fleet.now)
}

/// Records an attempt of a request of average work that was sent to a server just now.
pub(crate) fn send(fleet: &mut Fleet, server: ServerIndex, request: u64) {
    let attempt = InFlightAttempt {
        request: RequestId(request),
        attempt: 0,
        sent_at: fleet.now,
        relative_work: 1.0,
        queue_depth: 1.0,
    };
    let slow_start = fleet.settings.slow_start;
    fleet.servers[server].on_attempt_sent(attempt, &slow_start);
}

/// Records the arrival of the given number of requests, each of 1 ms of work.
pub(crate) fn record_arrivals(fleet: &mut Fleet, count: usize) {
    let workload = &mut fleet.estimators.workload;
    for _ in 0..count {
        workload.on_request_arrived(&fleet.settings.classes[0], 1_000.0, fleet.now);
    }
}

/// Ejects a server now; panics if it is already ejected or the cause is untrusted.
pub(crate) fn eject(fleet: &mut Fleet, server: ServerIndex, cause: EjectionCause) {
    let decision = EjectionDecision::decide(fleet, &fleet.servers[server], cause);
    let EjectionDecision::Eject {
        suspicion,
        earlier_ejections,
    } = decision
    else {
        panic!("the server was not ejected: {decision:?}");
    };
    let suspicion_state = &mut fleet.servers[server].suspicion;
    suspicion_state.on_ejected(suspicion, earlier_ejections);
}

/// Records a failed health check of a server.
pub(crate) fn fail_health_check(fleet: &mut Fleet, server: ServerIndex) {
    fleet
        .servers
        .on_health_check_ended(server, Outcome::TimedOut);
}
