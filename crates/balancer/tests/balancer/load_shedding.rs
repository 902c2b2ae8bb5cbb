//! Which requests are rejected under load.

use crate::common::{Driver, MS, checked_servers, sent_to, settings, settings_with_load_checks};
use arrowstand_balancer::{
    Action, AttemptEnd, ClassId, Event, Idempotency, IncomingRequest, LoadReport, Outcome,
    RequestClass, RequestId, Settings,
};

/// Requests sent of three classes, of 100 each, to a fleet whose responses take 150 of 250 ms.
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
fn responses_that_take_most_of_the_objective_shed_the_least_priority_first() {
    let sent = sent_under_saturation(settings());
    assert!(sent[0] < 60 && sent[1] > 80 && sent[2] > 80, "{sent:?}");
}

/// Servers would report their load, but a health check for each send costs too much.
#[test]
fn costly_health_checks_shed_by_latency_as_without_reports() {
    let costly = settings_with_load_checks(0.08);
    assert_eq!(
        sent_under_saturation(costly),
        sent_under_saturation(settings())
    );
}

/// Answers each health check among the actions with this many requests in flight.
fn report_load_of_checked(driver: &mut Driver, actions: &[Action], in_flight: f64) -> Vec<Action> {
    let report = LoadReport {
        in_flight,
        queued: in_flight - 1.0,
    };
    let servers = checked_servers(actions).into_iter();
    servers
        .flat_map(|server| driver.report_load(server, Some(report)))
        .collect()
}

/// Small and large requests of equal priority arrive by turns at a fleet of which each server has
/// so many in flight: whether the last small one and the last large one, which may take longer,
/// were sent.
fn sent_to_full_fleet(in_flight: u64) -> (bool, bool) {
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
        let reported = report_load_of_checked(&mut driver, &actions, in_flight as f64);
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
fn full_fleet_rejects_the_least_value_density_first() {
    let sent: Vec<(bool, bool)> = (1..30).map(sent_to_full_fleet).collect();
    assert_eq!(sent[0], (true, true), "an idle fleet gets both");
    assert!(sent.contains(&(true, false)), "{sent:?}");
    assert!(!sent.contains(&(false, true)), "{sent:?}");
}
