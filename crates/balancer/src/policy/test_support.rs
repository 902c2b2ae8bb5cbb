//! A fleet and requests for the tests of decisions.

use crate::fleet::Fleet;
use crate::policy::ejection::EjectionDecision;
use crate::state::{InFlightAttempt, RequestState, ServerIndex};
use crate::{
    ClassId, EjectionCause, Endpoint, Idempotency, IncomingRequest, Micros, Outcome, RequestClass,
    RequestId, ServerId, Settings,
};

/// Time at the fleet: long after all servers started.
pub(crate) const NOW: Micros = 100_000_000;
/// A millisecond.
pub(crate) const MS: Micros = 1_000;
/// The first server.
pub(crate) const FIRST: ServerIndex = ServerIndex(0);
/// The second server.
pub(crate) const SECOND: ServerIndex = ServerIndex(1);

/// One idempotent class with an objective of 250 ms and a deadline of 600 ms.
pub(crate) fn settings() -> Settings {
    Settings {
        classes: vec![class()],
        ..Settings::default()
    }
}

/// The same with three other balancers that gossip.
pub(crate) fn settings_with_peers() -> Settings {
    let mut settings = settings();
    settings.host.gossip = true;
    settings.identity.count = 4;
    settings
}

/// The same where servers are asked for their load before each send.
pub(crate) fn settings_with_load_checks() -> Settings {
    let mut settings = settings();
    settings.host.load_reports_in_health_checks = true;
    settings.fees.health_check = 0.001;
    settings
}

/// The same where responses tell of load.
pub(crate) fn settings_with_load_in_responses() -> Settings {
    let mut settings = settings();
    settings.host.load_reports_in_responses = true;
    settings
}

/// The class of [`settings`].
pub(crate) fn class() -> RequestClass {
    RequestClass::new(Idempotency::Idempotent, 250 * MS, 600 * MS)
}

/// So many warm servers, numbered from 0, at [`NOW`].
pub(crate) fn fleet(settings: Settings, servers: u32) -> Fleet {
    let mut fleet = Fleet::new(settings);
    fleet.now = NOW;
    for n in 0..servers {
        let endpoint = Endpoint::ready(ServerId(n), u64::from(n));
        fleet.servers.merge(endpoint, NOW, 0);
    }
    fleet
}

/// The same where this is the only class.
pub(crate) fn fleet_of(class: RequestClass, servers: u32) -> Fleet {
    let mut settings = settings();
    settings.classes = vec![class];
    fleet(settings, servers)
}

/// Restarts a server now, so that it is in slow start.
pub(crate) fn restart(fleet: &mut Fleet, server: ServerIndex) {
    let duration = fleet.settings.slow_start.duration;
    let now = fleet.now;
    fleet.servers[server]
        .slow_start
        .on_started(now, now, duration);
}

/// A request of class 0 as it arrives.
pub(crate) fn incoming(time_left: Micros, work_hint: Option<Micros>) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(1),
        class: ClassId(0),
        time_left,
        work_hint,
    }
}

/// A usual request of class 0 that arrived now.
pub(crate) fn request(fleet: &Fleet) -> RequestState {
    request_of_work(fleet, 1.0)
}

/// The same of this work, against that of a usual one.
pub(crate) fn request_of_work(fleet: &Fleet, relative_work: f64) -> RequestState {
    let class = &fleet.settings.classes[0];
    let incoming = incoming(class.deadline, None);
    RequestState::new(&incoming, class, relative_work, fleet.now)
}

/// Sends an attempt of a usual request to a server now.
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

/// So many requests of 1 ms arrive now.
pub(crate) fn arrive(fleet: &mut Fleet, requests: usize) {
    let workload = &mut fleet.estimators.workload;
    for _ in 0..requests {
        workload.on_request_arrived(&fleet.settings.classes[0], 1_000.0, fleet.now);
    }
}

/// Suspects a server now.
pub(crate) fn eject(fleet: &mut Fleet, server: ServerIndex, cause: EjectionCause) {
    let ejection = EjectionDecision::decide(fleet, &fleet.servers[server], cause);
    let EjectionDecision::Eject {
        suspicion,
        earlier_ejections,
    } = ejection
    else {
        panic!("not ejected: {ejection:?}");
    };
    let record = &mut fleet.servers[server].suspicion;
    record.on_ejected(suspicion, earlier_ejections);
}

/// Fails a health check of a server.
pub(crate) fn fail_health_check(fleet: &mut Fleet, server: ServerIndex) {
    fleet
        .servers
        .on_health_check_ended(server, Outcome::TimedOut);
}
