//! Load shedding: which requests are rejected under load.

use crate::common::{Driver, MS, checked_servers, sent_to, settings, settings_with_load_checks};
use arrowstand_balancer::{
    Action, AttemptEnd, ClassId, Event, Idempotency, IncomingRequest, LoadReport, Outcome,
    RequestClass, RequestId, Settings,
};

/// Number of requests that are sent, out of 100 of each class, when responses take 150 ms of the
/// objective of 250 ms. The classes have the priority weights 3, 8 and 8.
fn sent_under_saturation(settings: Settings) -> [u32; 3] {
    let mut classes = settings.classes;
    classes[0].priority_weight = 3.0;
    (classes[1].priority_weight, classes[2].priority_weight) = (8.0, 8.0);
    let mut driver = Driver::new(
        Settings {
            classes,
            ..settings
        },
        4,
    );
    let mut sent = [0, 0, 0];
    for n in 0..300 {
        let class = n % 3;
        let (id, actions) = driver.request(class);
        let Some(server) = sent_to(&actions) else {
            continue;
        };
        sent[usize::from(class)] += 1;
        driver.now += 150 * MS;
        driver.end_attempt(id, 0, server, Outcome::Served);
    }
    sent
}

#[test]
fn lowest_priority_is_shed_first_when_responses_take_most_of_the_objective() {
    let sent = sent_under_saturation(settings());
    assert!(sent[0] < 60 && sent[1] > 80 && sent[2] > 80, "{sent:?}");
}

/// Health checks return load reports here, but their fee is too high for a load check before each
/// send.
#[test]
fn shedding_with_costly_health_checks_is_the_same_as_without_load_reports() {
    let costly = settings_with_load_checks(0.08);
    assert_eq!(
        sent_under_saturation(costly),
        sent_under_saturation(settings())
    );
}

/// Ends each health check among the actions with a report of this many requests in flight.
fn end_load_checks(driver: &mut Driver, actions: &[Action], in_flight: f64) -> Vec<Action> {
    let report = LoadReport {
        in_flight,
        queued: in_flight - 1.0,
    };
    let servers = checked_servers(actions).into_iter();
    servers
        .flat_map(|server| driver.report_load(server, Some(report)))
        .collect()
}

/// Small and large requests of equal priority arrive alternately at a fleet whose servers each have
/// the given number of requests in flight. Returns whether the last small and the last large
/// request were sent. Large requests have a longer latency objective.
fn last_requests_sent(in_flight: u64) -> (bool, bool) {
    let idempotent = |objective| RequestClass::new(Idempotency::Idempotent, objective, 1_500 * MS);
    let classes = vec![idempotent(400 * MS), idempotent(600 * MS)];
    let mut driver = Driver::new(
        Settings {
            classes,
            ..settings_with_load_checks(0.001)
        },
        6,
    );
    let mut sent = [false; 2];
    for n in 0..400 {
        driver.now += 10 * MS;
        let (id, class) = (RequestId(10_000 + n), (n % 2) as u16);
        let work = if class == 0 { 40 * MS } else { 110 * MS };
        let incoming = IncomingRequest {
            id,
            class: ClassId(class),
            time_left: 1_500 * MS,
            work_hint: Some(work),
        };
        let mut actions = driver.handle(Event::RequestArrived(incoming));
        let reported = end_load_checks(&mut driver, &actions, in_flight as f64);
        actions.extend(reported);
        sent[usize::from(class)] = sent_to(&actions).is_some();
        if let Some(server) = sent_to(&actions) {
            let elapsed = work + in_flight * 75 * MS;
            driver.now += elapsed;
            driver.handle(Event::AttemptEnded(AttemptEnd {
                request: id,
                attempt: 0,
                server,
                outcome: Outcome::Served,
                request_finished: true,
                elapsed,
                load_report: None,
            }));
        }
    }
    (sent[0], sent[1])
}

#[test]
fn full_fleet_rejects_requests_with_the_lowest_value_density_first() {
    let sent: Vec<(bool, bool)> = (1..30).map(last_requests_sent).collect();
    assert_eq!(
        sent[0],
        (true, true),
        "a nearly idle fleet rejected a request"
    );
    assert!(sent.contains(&(true, false)), "{sent:?}");
    assert!(!sent.contains(&(false, true)), "{sent:?}");
}
