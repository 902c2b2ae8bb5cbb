use arrowstand_balancer::{
    Action, AttemptEnd, ClassId, Endpoint, Event, Fees, HostCapabilities, Idempotency,
    IncomingRequest, LoadReport, Micros, Outcome, RequestClass, RequestId, ServerId, Settings,
    UpdateKind,
};

use super::WorkAwareBalancer;

fn settings_with_load_checks() -> Settings {
    let class = RequestClass::new(Idempotency::Idempotent, 150_000, 600_000);
    Settings {
        classes: vec![class],
        host: HostCapabilities {
            load_reports_in_health_checks: true,
            ..HostCapabilities::default()
        },
        fees: Fees {
            health_check: 0.001,
            ..Fees::default()
        },
        ..Settings::default()
    }
}

/// Response time of every training request, in microseconds.
const TRAINED_WORK: Micros = 30_000;
/// Remaining time of a request with a distant deadline, in microseconds.
const AMPLE_TIME_LEFT: Micros = 600_000;
/// Number of training requests; more than an estimate needs.
const TRAINING_REQUESTS: u64 = 60;
/// Idle time before each training request, in microseconds.
const TRAINING_PAUSE: Micros = 100_000;

/// Returns a balancer trained on requests that take [`TRAINED_WORK`], and the current time.
fn trained_balancer() -> (WorkAwareBalancer, Micros) {
    let mut balancer = WorkAwareBalancer::new(settings_with_load_checks(), 7).expect("valid");
    list_one_server(&mut balancer);
    let mut now = 0;
    for id in 0..TRAINING_REQUESTS {
        now += TRAINING_PAUSE;
        let sent = send_request(&mut balancer, now, id, AMPLE_TIME_LEFT);
        assert!(sent, "request {id} is sent");
        now += TRAINED_WORK;
        serve(&mut balancer, now, id);
    }
    (balancer, now + TRAINING_PAUSE)
}

fn list_one_server(balancer: &mut WorkAwareBalancer) {
    let update = Event::EndpointsUpdated {
        kind: UpdateKind::Full,
        version: 1,
        endpoints: vec![Endpoint::ready(ServerId(0), 1)],
    };
    balancer.handle(0, update, &mut Vec::new());
}

/// Reports that the server served the first attempt of a request after [`TRAINED_WORK`].
fn serve(balancer: &mut WorkAwareBalancer, now: Micros, id: u64) {
    let end = AttemptEnd {
        request: RequestId(id),
        attempt: 0,
        server: ServerId(0),
        outcome: Outcome::Served,
        request_finished: true,
        elapsed: TRAINED_WORK,
        load_report: None,
    };
    balancer.handle(now, Event::AttemptEnded(end), &mut Vec::new());
}

/// Passes in a new request and a health check with the load report of an idle server, and returns
/// whether the request was sent.
fn send_request(balancer: &mut WorkAwareBalancer, now: Micros, id: u64, time_left: Micros) -> bool {
    let mut actions = Vec::new();
    let request = IncomingRequest {
        id: RequestId(id),
        class: ClassId(0),
        time_left,
        work_hint: None,
    };
    balancer.handle(now, Event::RequestArrived(request), &mut actions);
    let report = Some(LoadReport {
        in_flight: 0.0,
        queued: 0.0,
    });
    let health_check = Event::HealthCheckEnded {
        server: ServerId(0),
        outcome: Outcome::Served,
        load_report: report,
    };
    balancer.handle(now, health_check, &mut actions);
    actions
        .iter()
        .any(|action| matches!(action, Action::Send { .. }))
}

#[test]
fn the_work_of_a_class_is_estimated_from_events() {
    let (balancer, _) = trained_balancer();

    let work = balancer.work_estimator().expected_work(ClassId(0));

    assert!(work.is_some_and(|work| (29_000..31_000).contains(&work)));
}

#[test]
fn a_request_with_little_time_left_is_sent_unless_below_its_work_hint() {
    let (mut balancer, now) = trained_balancer();

    let sent_with_little_time = send_request(&mut balancer, now, 1_000, 20_000);
    let sent_below_work_hint = send_request(&mut balancer, now + 1_000_000, 1_001, 5_000);

    assert!(sent_with_little_time);
    assert!(!sent_below_work_hint);
    assert!(
        balancer.open_requests.len() <= 1,
        "a rejected request is removed"
    );
}
