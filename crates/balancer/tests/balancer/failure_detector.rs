//! Suspicions raised by attempts, and when they end.

use crate::common::{
    Driver, MS, endpoint, endpoint_changed, has_ejection, has_ejection_for_attempts,
    has_readmission, sent_to, settings,
};
use arrowstand_balancer::{Endpoint, Outcome, RetrySettings, ServerId, Settings};

#[test]
fn restart_ends_a_suspicion_unless_the_server_is_flapping() {
    let mut driver = Driver::new(settings(), 4);
    driver.fail_health_checks(ServerId(0));
    let restart = |at| {
        endpoint_changed(Endpoint {
            incarnation: Some(at),
            ..endpoint(0)
        })
    };
    assert!(has_readmission(&driver.handle(restart(9))));
    driver.fail_health_checks(ServerId(0));
    assert!(!has_readmission(&driver.handle(restart(10))));
}

#[test]
fn ejection_for_overdue_responses_is_ended_by_a_response_but_not_at_once_by_a_health_check() {
    let mut driver = Driver::new(
        Settings {
            retries: RetrySettings {
                hedging: false,
                ..settings().retries
            },
            ..settings()
        },
        4,
    );
    driver.servers_in_use();
    let mut unanswered = Vec::new();
    for _ in 0..1_000 {
        if unanswered.len() == 4 {
            break;
        }
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("the request is sent");
        if server == ServerId(0) {
            unanswered.push(id);
        } else {
            driver.now += MS;
            driver.end_attempt(id, 0, server, Outcome::Served);
        }
    }
    let mut ejected = false;
    for _ in 0..40 {
        ejected |= has_ejection_for_attempts(&driver.advance(25 * MS));
        driver.end_health_check(ServerId(0), Outcome::Served);
        if ejected {
            break;
        }
    }
    assert!(ejected);
    assert_eq!(driver.servers_in_use(), [1, 2, 3]);
    let actions = driver.end_attempt(unanswered[0], 0, ServerId(0), Outcome::Served);
    assert!(has_readmission(&actions));
}

#[test]
fn server_that_quickly_fails_every_attempt_is_ejected() {
    let mut driver = Driver::new(settings(), 4);
    for _ in 0..60 {
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("the request is sent");
        let outcome = if server == ServerId(0) {
            Outcome::ServerError
        } else {
            Outcome::Served
        };
        driver.now += 5 * MS;
        driver.end_attempt(id, 0, server, outcome);
    }
    assert_eq!(driver.servers_in_use(), [1, 2, 3]);
}

#[test]
fn errors_spread_over_all_servers_cause_few_ejections() {
    let mut driver = Driver::new(settings(), 6);
    let mut ejections = 0;
    for n in 0..300 {
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("the request is sent");
        driver.now += 5 * MS;
        let outcome = if n % 5 < 2 {
            Outcome::ServerError
        } else {
            Outcome::Served
        };
        ejections += usize::from(has_ejection(&driver.end_attempt(id, 0, server, outcome)));
    }
    assert!(ejections <= 2, "{ejections}");
}

#[test]
fn resets_spread_over_all_servers_cause_few_ejections() {
    let (mut driver, mut rng, mut ejections) =
        (Driver::new(settings(), 10), fastrand::Rng::with_seed(1), 0);
    for _ in 0..2_000 {
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("the request is sent");
        driver.now += 5 * MS;
        let outcome = if rng.u8(0..100) < 10 {
            Outcome::Reset
        } else {
            Outcome::Served
        };
        ejections += usize::from(has_ejection(&driver.end_attempt(id, 0, server, outcome)));
    }
    assert!(ejections <= 5, "{ejections}");
}

#[test]
fn ejection_time_covers_the_mean_attempt_interval_at_a_low_request_rate() {
    let mut driver = Driver::new(settings(), 4);
    driver.servers_in_use_at_low_rate();
    let mut ejected_server = None;
    for _ in 0..60 {
        driver.now += 1_000 * MS;
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("the request is sent");
        let outcome = if server == ServerId(3) {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        };
        let actions = driver.end_attempt(id, 0, server, outcome);
        if let Some(next) = sent_to(&actions) {
            driver.end_attempt(id, 1, next, Outcome::Served);
        }
        if has_ejection_for_attempts(&actions) {
            ejected_server = Some(server);
            break;
        }
    }
    assert_eq!(ejected_server, Some(ServerId(3)));
    driver.now += 1_500 * MS;
    assert!(!has_readmission(
        &driver.end_health_check(ServerId(3), Outcome::Served)
    ));
    driver.now += 8_000 * MS;
    assert!(has_readmission(
        &driver.end_health_check(ServerId(3), Outcome::Served)
    ));
}
