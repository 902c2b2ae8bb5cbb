//! Load checks before a send, and the load reports that they return.

use crate::common::{
    Driver, MS, REQUEST_TIMER_TOKEN, checked_servers, gossip_messages, has_rejection, sent_to,
    settings_with_load_checks, settings_with_peers,
};
use arrowstand_balancer::{
    BalancerIdentity, ClassId, Event, Fees, HostCapabilities, IncomingRequest, LoadReport, Outcome,
    RequestId, ServerId, Settings,
};

#[test]
fn requests_go_to_the_server_that_reports_no_load() {
    let mut driver = Driver::new(settings_with_load_checks(0.001), 4);
    for _ in 0..30 {
        let (id, arrival) = driver.request(0);
        let mut actions = Vec::new();
        for server in checked_servers(&arrival) {
            let in_flight = if server == ServerId(3) { 0.0 } else { 2.0 };
            let report = Some(LoadReport {
                in_flight,
                queued: 0.0,
            });
            actions = driver.report_load(server, report);
        }
        assert_eq!(sent_to(&actions), Some(ServerId(3)));
        driver.now += 30 * MS;
        driver.end_attempt(id, 0, ServerId(3), Outcome::Served);
    }
}

#[test]
fn load_reports_below_the_known_attempts_in_flight_are_ignored() {
    let mut driver = Driver::new(settings_with_load_checks(0.001), 4);
    let mut requests_to_server_0 = Vec::new();
    for _ in 0..40 {
        // Server 0 always reports that it is idle, and its attempts never end. The others report
        // five requests each.
        let (id, arrival) = driver.request(2);
        driver.now += MS;
        let mut actions = Vec::new();
        for server in checked_servers(&arrival) {
            let in_flight = if server == ServerId(0) { 0.0 } else { 5.0 };
            let report = Some(LoadReport {
                in_flight,
                queued: 0.0,
            });
            actions.extend(driver.report_load(server, report));
        }
        match sent_to(&actions) {
            Some(ServerId(0)) => requests_to_server_0.push(id),
            Some(other) => drop(driver.end_attempt(id, 0, other, Outcome::Served)),
            None => {}
        }
    }
    assert!(
        (1..5).contains(&requests_to_server_0.len()),
        "{}",
        requests_to_server_0.len()
    );
}

#[test]
fn server_whose_load_check_failed_is_not_preferred_to_a_busy_one() {
    let mut driver = Driver::new(settings_with_load_checks(0.001), 3);
    let (_, arrival) = driver.request(0);
    driver.end_health_check(checked_servers(&arrival)[0], Outcome::ConnectFailed);
    let busy = Some(LoadReport {
        in_flight: 1.0,
        queued: 0.0,
    });
    let mut actions = Vec::new();
    for &server in &checked_servers(&arrival)[1..] {
        actions = driver.report_load(server, busy);
    }
    assert!(sent_to(&actions).is_some_and(|server| server != checked_servers(&arrival)[0]));
}

#[test]
fn request_with_little_time_left_is_sent_or_rejected_in_time() {
    let mut driver = Driver::new(settings_with_load_checks(0.0), 4);
    let incoming = |id, time_left| IncomingRequest {
        id,
        class: ClassId(0),
        time_left,
        work_hint: None,
    };
    // Less time than any request takes: rejected on arrival.
    let (id, too_short) = (RequestId(9_001), 3 * MS);
    assert!(has_rejection(
        &driver.handle(Event::RequestArrived(incoming(id, too_short)))
    ));
    // Enough time for a fast response: sent well before the client's deadline, although no load
    // check has ended.
    let (id, enough) = (RequestId(9_002), 60 * MS);
    let mut actions = driver.handle(Event::RequestArrived(incoming(id, enough)));
    driver.now += 5 * MS;
    actions.extend(driver.handle(Event::TimerFired {
        token: REQUEST_TIMER_TOKEN,
    }));
    assert!(sent_to(&actions).is_some());
}

#[test]
fn while_most_load_checks_fail_only_a_report_of_an_idle_server_is_used() {
    for (in_flight, is_preferred) in [(0.0, true), (5.0, false)] {
        let mut driver = Driver::new(settings_with_load_checks(0.0), 10);
        (1..10).for_each(|n| drop(driver.end_health_check(ServerId(n), Outcome::TimedOut)));
        let mut sends_to_server_0 = 0;
        for _ in 0..200 {
            driver.now += 100 * MS;
            let (id, actions) = driver.request(2);
            if checked_servers(&actions).contains(&ServerId(0)) {
                let report = Some(LoadReport {
                    in_flight,
                    queued: 0.0,
                });
                driver.report_load(ServerId(0), report);
            }
            driver.now += 6 * MS;
            let Some(server) = sent_to(&driver.handle(Event::TimerFired {
                token: REQUEST_TIMER_TOKEN,
            })) else {
                continue;
            };
            sends_to_server_0 += usize::from(server == ServerId(0));
            driver.now += 40 * MS;
            driver.end_attempt(id, 0, server, Outcome::Served);
        }
        assert_eq!(
            sends_to_server_0 > 60,
            is_preferred,
            "{in_flight} {sends_to_server_0}"
        );
    }
}

#[test]
fn failed_load_checks_cause_few_requests_for_indirect_checks() {
    let settings = Settings {
        host: HostCapabilities {
            load_reports_in_health_checks: true,
            ..settings_with_peers().host
        },
        fees: Fees {
            health_check: 0.002,
            ..settings_with_peers().fees
        },
        identity: BalancerIdentity {
            count: 900,
            ..settings_with_peers().identity
        },
        ..settings_with_peers()
    };
    let mut driver = Driver::new(settings, 60);
    let mut messages = 0;
    for _ in 0..100 {
        let (_, actions) = driver.request(0);
        for server in checked_servers(&actions) {
            messages += gossip_messages(&driver.end_health_check(server, Outcome::TimedOut)).len();
        }
        let later = driver.advance(100 * MS);
        messages += gossip_messages(&later).len();
        for server in checked_servers(&later) {
            messages += gossip_messages(&driver.end_health_check(server, Outcome::TimedOut)).len();
        }
    }
    // In 10 s, at most four scheduled health checks per second, each with three requests for
    // indirect checks and one message of suspicions.
    assert!(messages <= 160, "{messages}");
}
