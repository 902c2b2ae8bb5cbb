//! Which requests are rejected under load.

use crate::common::{Driver, MS, health_checks, sent_to, settings};
use arrowstand_balancer::{
    AttemptEnd, ClassId, Event, Idempotency, IncomingRequest, LoadReport, Outcome, RequestClass, RequestId,
    Settings,
};

/// First sends of three classes, of 100 each, by a fleet whose answers take 150 of 250 ms.
fn sent_under_saturation(settings: Settings) -> [u32; 3] {
    let mut classes = settings.classes;
    classes[0].priority_weight = 3.0;
    (classes[1].priority_weight, classes[2].priority_weight) = (8.0, 8.0);
    let mut driver = Driver::new(Settings { classes, ..settings }, 4);
    let mut taken = [0, 0, 0];
    for n in 0..300 {
        let class = n % 3;
        let (id, actions) = driver.request(class);
        let Some(server) = sent_to(&actions) else { continue };
        taken[usize::from(class)] += 1;
        driver.now += 150 * MS;
        driver.end_attempt(id, 0, server, Outcome::Served);
    }
    taken
}

#[test]
fn responses_that_take_most_of_the_objective_shed_the_least_priority_first() {
    let taken = sent_under_saturation(settings());
    assert!(taken[0] < 60 && taken[1] > 80 && taken[2] > 80, "{taken:?}");
}

/// A fleet of many small sidecars: servers would report, but a probe for each send costs more than it tells.
#[test]
fn costly_health_checks_shed_by_latency_as_without_reports() {
    let dear = Settings { load_reports: true, health_check_fee: 0.08, ..settings() };
    assert_eq!(sent_under_saturation(dear), sent_under_saturation(settings()));
}

/// Small and large requests of the same worth come by turns to a fleet of which each server holds so many; tells
/// whether the last small one and the last large one, which may take longer, were sent.
fn sent_to_full_fleet(held: u64) -> (bool, bool) {
    let pure = |objective| RequestClass::new(Idempotency::Idempotent, objective, 1_500 * MS);
    let classes = vec![pure(400 * MS), pure(600 * MS)];
    let mut driver =
        Driver::new(Settings { classes, load_reports: true, health_check_fee: 0.001, ..settings() }, 6);
    let mut taken = [false; 2];
    for n in 0..400 {
        driver.now += 10 * MS;
        let (id, class) = (RequestId(10_000 + n), (n % 2) as u16);
        let size = if class == 0 { 40 * MS } else { 110 * MS };
        let call =
            IncomingRequest { id, class: ClassId(class), time_left: 1_500 * MS, work_hint: Some(size) };
        let mut actions = driver.handle(Event::RequestArrived(call));
        for server in health_checks(&actions) {
            let report = Some(LoadReport { in_flight: held as f64, queued: held as f64 - 1.0 });
            actions.extend(driver.report_load(server, report));
        }
        taken[usize::from(class)] = sent_to(&actions).is_some();
        if let Some(server) = sent_to(&actions) {
            let elapsed = size + held * 75 * MS;
            driver.now += elapsed;
            let (request, outcome, finished, report) = (id, Outcome::Served, true, None);
            let end =
                AttemptEnd { request, attempt: 0, server, outcome, finished, elapsed, load_report: report };
            driver.handle(Event::AttemptEnded(end));
        }
    }
    (taken[0], taken[1])
}

#[test]
fn full_fleet_rejects_the_least_value_density_first() {
    let taken: Vec<(bool, bool)> = (1..30).map(sent_to_full_fleet).collect();
    assert_eq!(taken[0], (true, true), "a free fleet takes both");
    assert!(taken.contains(&(true, false)), "{taken:?}");
    assert!(!taken.contains(&(false, true)), "{taken:?}");
}
