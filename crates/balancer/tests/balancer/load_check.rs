//! Load reports and the load checks before a send.

use crate::common::{
    Driver, MS, REQUEST_TIMER_TOKEN, checked_servers, gossip_messages, has_rejection, sent_to,
    settings_with_load_checks, settings_with_peers,
};
use arrowstand_balancer::{
    BalancerIdentity, ClassId, Event, Fees, HostCapabilities, IncomingRequest, LoadReport, Outcome,
    RequestId, ServerId, Settings,
};

#[test]
fn servers_that_report_load_of_others_are_avoided() {
    let mut driver = Driver::new(settings_with_load_checks(0.001), 4);
    for _ in 0..30 {
        let (id, arrival) = driver.request(0);
        let mut last = Vec::new();
        for server in checked_servers(&arrival) {
            let reported = if server == ServerId(3) { 0.0 } else { 2.0 };
            let report = Some(LoadReport {
                in_flight: reported,
                queued: 0.0,
            });
            last = driver.report_load(server, report);
        }
        assert_eq!(sent_to(&last), Some(ServerId(3)));
        driver.now += 30 * MS;
        driver.end_attempt(id, 0, ServerId(3), Outcome::Served);
    }
}

#[test]
fn reports_below_the_known_attempts_in_flight_are_not_believed() {
    let mut driver = Driver::new(settings_with_load_checks(0.001), 4);
    let mut to_idle_reporter = Vec::new();
    for _ in 0..40 {
        // Server 0 always reports to be idle, and ends no attempt; the others report five requests
        // each.
        let (id, arrival) = driver.request(2);
        driver.now += MS;
        let mut last = Vec::new();
        for server in checked_servers(&arrival) {
            let reported = if server == ServerId(0) { 0.0 } else { 5.0 };
            let report = Some(LoadReport {
                in_flight: reported,
                queued: 0.0,
            });
            last.extend(driver.report_load(server, report));
        }
        match sent_to(&last) {
            Some(ServerId(0)) => to_idle_reporter.push(id),
            Some(other) => drop(driver.end_attempt(id, 0, other, Outcome::Served)),
            None => {}
        }
    }
    assert!(
        (1..5).contains(&to_idle_reporter.len()),
        "{}",
        to_idle_reporter.len()
    );
}

#[test]
fn server_whose_load_check_failed_does_not_look_idle() {
    let mut driver = Driver::new(settings_with_load_checks(0.001), 3);
    let (_, arrival) = driver.request(0);
    driver.end_health_check(checked_servers(&arrival)[0], Outcome::ConnectFailed);
    let busy = Some(LoadReport {
        in_flight: 1.0,
        queued: 0.0,
    });
    let mut last = Vec::new();
    for &server in &checked_servers(&arrival)[1..] {
        last = driver.report_load(server, busy);
    }
    assert!(sent_to(&last).is_some_and(|server| server != checked_servers(&arrival)[0]));
}

#[test]
fn client_with_little_time_gets_a_send_or_a_rejection_within_it() {
    let mut driver = Driver::new(settings_with_load_checks(0.0), 4);
    let incoming = |id, time_left| IncomingRequest {
        id,
        class: ClassId(0),
        time_left,
        work_hint: None,
    };
    // Less than any service takes: rejected at once.
    let (id, short) = (RequestId(9_001), 3 * MS);
    assert!(has_rejection(
        &driver.handle(Event::RequestArrived(incoming(id, short)))
    ));
    // Enough for a quick one: sent, though no load check ends, well before the client leaves.
    let (id, enough) = (RequestId(9_002), 60 * MS);
    let mut actions = driver.handle(Event::RequestArrived(incoming(id, enough)));
    driver.now += 5 * MS;
    actions.extend(driver.handle(Event::TimerFired {
        token: REQUEST_TIMER_TOKEN,
    }));
    assert!(sent_to(&actions).is_some());
}

#[test]
fn where_most_load_checks_fail_an_idle_report_is_preferred_and_a_busy_one_is_not() {
    for (reported, preferred) in [(0.0, true), (5.0, false)] {
        let mut driver = Driver::new(settings_with_load_checks(0.0), 10);
        (1..10).for_each(|n| drop(driver.end_health_check(ServerId(n), Outcome::TimedOut)));
        let mut chosen = 0;
        for _ in 0..200 {
            driver.now += 100 * MS;
            let (id, actions) = driver.request(2);
            if checked_servers(&actions).contains(&ServerId(0)) {
                let report = Some(LoadReport {
                    in_flight: reported,
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
            chosen += usize::from(server == ServerId(0));
            driver.now += 40 * MS;
            driver.end_attempt(id, 0, server, Outcome::Served);
        }
        assert_eq!(chosen > 60, preferred, "{reported} {chosen}");
    }
}

#[test]
fn failed_load_checks_do_not_each_request_indirect_checks() {
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
    // Ten seconds: at most four scheduled health checks a second, each with three requests for
    // indirect checks and one message.
    assert!(messages <= 160, "{messages}");
}
