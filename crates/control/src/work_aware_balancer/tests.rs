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
            load_reports: true,
            ..HostCapabilities::default()
        },
        fees: Fees {
            health_check: 0.001,
            ..Fees::default()
        },
        ..Settings::default()
    }
}

/// A balancer that has learnt that its requests take 30 ms, and the time.
fn trained_balancer() -> (WorkAwareBalancer, Micros) {
    let mut balancer = WorkAwareBalancer::new(settings_with_load_checks(), 7).expect("valid");
    let endpoint = Endpoint::ready(ServerId(0), 1);
    let update = Event::EndpointsUpdated {
        kind: UpdateKind::Full,
        version: 1,
        endpoints: vec![endpoint],
    };
    balancer.handle(0, update, &mut Vec::new());
    let mut now = 0;
    for id in 0..60 {
        now += 100_000;
        assert!(
            is_sent(&mut balancer, now, id, 600_000),
            "request {id} goes out"
        );
        now += 30_000;
        let (request, server, load_report) = (RequestId(id), ServerId(0), None);
        let (attempt, outcome, finished, elapsed) = (0, Outcome::Served, true, 30_000);
        let end = AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            finished,
            elapsed,
            load_report,
        };
        balancer.handle(now, Event::AttemptEnded(end), &mut Vec::new());
    }
    (balancer, now + 100_000)
}

/// Lets a request arrive, answers the health checks with an idle server, and returns whether the
/// request was sent.
fn is_sent(balancer: &mut WorkAwareBalancer, now: Micros, id: u64, time_left: Micros) -> bool {
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
fn a_request_with_little_time_left_is_sent_unless_it_is_next_to_none() {
    let (mut balancer, now) = trained_balancer();
    assert!(
        balancer
            .work()
            .expected_work(ClassId(0))
            .is_some_and(|work| (29_000..31_000).contains(&work))
    );
    assert!(is_sent(&mut balancer, now, 1_000, 20_000));
    assert!(!is_sent(&mut balancer, now + 1_000_000, 1_001, 5_000));
    assert!(
        balancer.open_requests.len() <= 1,
        "a rejected request is forgotten"
    );
}
