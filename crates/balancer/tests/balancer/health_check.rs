//! Which servers are checked, and what health checks lead to.

use crate::common::{
    Driver, MS, checked_servers, has_ejection, has_readmission, sent_to, server_events, settings,
    settings_with_health_check_fee,
};
use arrowstand_balancer::{Outcome, ServerEvent, ServerId};

#[test]
fn every_interval_checks_one_random_server() {
    let mut driver = Driver::new(settings_with_health_check_fee(0.0), 6);
    let mut checked = Vec::new();
    for _ in 0..40 {
        let started = checked_servers(&driver.advance(1_000 * MS));
        assert_eq!(started.len(), 1);
        driver.end_health_check(started[0], Outcome::Served);
        checked.push(started[0].0);
    }
    checked.sort_unstable();
    checked.dedup();
    assert_eq!(checked.len(), 6);
}

#[test]
fn costly_health_checks_come_seldom_however_many_servers_are_suspected() {
    let mut driver = Driver::new(settings_with_health_check_fee(0.05), 60);
    let calm = checked_servers(&driver.advance(40_000 * MS)).len();
    assert!((6..=9).contains(&calm), "{calm}");
    (0..25).for_each(|n| drop(driver.fail_health_checks(ServerId(n))));
    assert!(checked_servers(&driver.advance(40_000 * MS)).len() <= 40);
}

#[test]
fn failed_attempt_makes_its_server_the_next_to_be_checked() {
    let mut driver = Driver::new(settings(), 6);
    let (id, actions) = driver.request(0);
    let server = sent_to(&actions).expect("sent");
    driver.end_attempt(id, 0, server, Outcome::Reset);
    assert_eq!(checked_servers(&driver.tick()), [server]);
}

#[test]
fn failed_health_check_is_confirmed_by_a_second_before_suspicion() {
    let mut driver = Driver::new(settings(), 4);
    assert!(!has_ejection(
        &driver.end_health_check(ServerId(0), Outcome::TimedOut)
    ));
    let later = driver.advance(300 * MS);
    assert!(checked_servers(&later).contains(&ServerId(0)));
    assert!(has_ejection(
        &driver.end_health_check(ServerId(0), Outcome::TimedOut)
    ));
    assert_eq!(driver.servers_in_use(), [1, 2, 3]);
}

#[test]
fn second_health_check_that_succeeds_raises_no_suspicion() {
    let mut driver = Driver::new(settings(), 4);
    driver.end_health_check(ServerId(0), Outcome::TimedOut);
    driver.advance(300 * MS);
    driver.end_health_check(ServerId(0), Outcome::Served);
    assert_eq!(driver.servers_in_use(), [0, 1, 2, 3]);
}

#[test]
fn suspected_server_is_declared_dead_still_checked_and_readmitted() {
    let mut driver = Driver::new(settings(), 4);
    driver.fail_health_checks(ServerId(0));
    let mut dead = false;
    for _ in 0..40 {
        let actions = driver.advance(250 * MS);
        dead |= server_events(&actions).contains(&ServerEvent::DeclaredDead);
        if checked_servers(&actions).contains(&ServerId(0)) {
            driver.end_health_check(ServerId(0), Outcome::TimedOut);
        }
    }
    assert!(dead);
    assert!(checked_servers(&driver.advance(1_500 * MS)).contains(&ServerId(0)));
    assert!(has_readmission(
        &driver.end_health_check(ServerId(0), Outcome::Served)
    ));
}

#[test]
fn health_checks_that_fail_everywhere_do_not_empty_the_fleet() {
    let mut driver = Driver::new(settings(), 6);
    (0..6).for_each(|n| {
        driver.fail_health_checks(ServerId(n));
    });
    assert!(driver.servers_in_use().len() >= 3);
}

#[test]
fn suspected_server_is_checked_while_attempts_fail_all_the_time() {
    let mut driver = Driver::new(settings(), 6);
    driver.fail_health_checks(ServerId(5));
    let mut checked = Vec::new();
    for n in 0..400 {
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("sent");
        driver.end_attempt(
            id,
            0,
            server,
            if n % 4 == 0 {
                Outcome::Reset
            } else {
                Outcome::Served
            },
        );
        let started = checked_servers(&driver.advance(25 * MS));
        for &server in &started {
            let outcome = if server.0 == 5 {
                Outcome::TimedOut
            } else {
                Outcome::Served
            };
            driver.end_health_check(server, outcome);
        }
        checked.extend(started);
    }
    let suspect = checked.iter().filter(|server| server.0 == 5).count();
    assert!(3 * suspect >= checked.len(), "{checked:?}");
}

#[test]
fn attempts_decide_where_most_health_checks_fail() {
    let mut driver = Driver::new(settings(), 10);
    for n in 0..7 {
        driver.end_health_check(ServerId(n), Outcome::TimedOut);
        driver.end_health_check(ServerId(n), Outcome::TimedOut);
    }
    driver.advance(100 * MS);
    assert!(driver.servers_in_use().len() >= 8);
    // A server that fails attempts as well is suspected all the same.
    for _ in 0..60 {
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("sent");
        let outcome = if server == ServerId(3) {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        };
        let retried_on = sent_to(&driver.end_attempt(id, 0, server, outcome));
        if let Some(to) = retried_on {
            driver.end_attempt(id, 1, to, Outcome::Served);
        }
    }
    assert!(!driver.servers_in_use().contains(&3));
}
