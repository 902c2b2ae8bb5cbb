//! Scheduling of health checks, and the effect of their results.

use crate::common::{
    Driver, MS, checked_servers, has_ejection, has_readmission, sent_to, server_events, settings,
    settings_with_health_check_fee,
};
use arrowstand_balancer::{Outcome, ServerEvent, ServerId};

#[test]
fn one_random_server_is_checked_per_interval() {
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
fn costly_health_checks_stay_rare_when_many_servers_are_suspected() {
    let mut driver = Driver::new(settings_with_health_check_fee(0.05), 60);
    let checks_without_suspects = checked_servers(&driver.advance(40_000 * MS)).len();
    assert!(
        (6..=9).contains(&checks_without_suspects),
        "{checks_without_suspects}"
    );
    (0..25).for_each(|n| drop(driver.fail_health_checks(ServerId(n))));
    assert!(checked_servers(&driver.advance(40_000 * MS)).len() <= 40);
}

#[test]
fn server_of_a_failed_attempt_is_checked_next() {
    let mut driver = Driver::new(settings(), 6);
    let (id, actions) = driver.request(0);
    let server = sent_to(&actions).expect("the request is sent");
    driver.end_attempt(id, 0, server, Outcome::Reset);
    assert_eq!(checked_servers(&driver.tick()), [server]);
}

#[test]
fn server_is_ejected_only_after_a_second_failed_health_check() {
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
fn server_stays_in_use_if_the_second_health_check_succeeds() {
    let mut driver = Driver::new(settings(), 4);
    driver.end_health_check(ServerId(0), Outcome::TimedOut);
    driver.advance(300 * MS);
    driver.end_health_check(ServerId(0), Outcome::Served);
    assert_eq!(driver.servers_in_use(), [0, 1, 2, 3]);
}

#[test]
fn dead_server_is_still_checked_and_readmitted_after_a_successful_check() {
    let mut driver = Driver::new(settings(), 4);
    driver.fail_health_checks(ServerId(0));
    let mut declared_dead = false;
    for _ in 0..40 {
        let actions = driver.advance(250 * MS);
        declared_dead |= server_events(&actions).contains(&ServerEvent::DeclaredDead);
        if checked_servers(&actions).contains(&ServerId(0)) {
            driver.end_health_check(ServerId(0), Outcome::TimedOut);
        }
    }
    assert!(declared_dead);
    assert!(checked_servers(&driver.advance(1_500 * MS)).contains(&ServerId(0)));
    assert!(has_readmission(
        &driver.end_health_check(ServerId(0), Outcome::Served)
    ));
}

#[test]
fn at_least_half_of_the_servers_stay_in_use_if_all_health_checks_fail() {
    let mut driver = Driver::new(settings(), 6);
    (0..6).for_each(|n| {
        driver.fail_health_checks(ServerId(n));
    });
    assert!(driver.servers_in_use().len() >= 3);
}

#[test]
fn suspected_server_gets_its_share_of_checks_while_attempts_keep_failing() {
    let mut driver = Driver::new(settings(), 6);
    driver.fail_health_checks(ServerId(5));
    let mut checked = Vec::new();
    for n in 0..400 {
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("the request is sent");
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
    let checks_of_suspect = checked.iter().filter(|server| server.0 == 5).count();
    assert!(3 * checks_of_suspect >= checked.len(), "{checked:?}");
}

#[test]
fn only_attempts_eject_servers_while_most_health_checks_fail() {
    let mut driver = Driver::new(settings(), 10);
    for n in 0..7 {
        driver.end_health_check(ServerId(n), Outcome::TimedOut);
        driver.end_health_check(ServerId(n), Outcome::TimedOut);
    }
    driver.advance(100 * MS);
    assert!(driver.servers_in_use().len() >= 8);
    // A server that also fails attempts is ejected nevertheless.
    for _ in 0..60 {
        let (id, actions) = driver.request(2);
        let server = sent_to(&actions).expect("the request is sent");
        let outcome = if server == ServerId(3) {
            Outcome::ConnectFailed
        } else {
            Outcome::Served
        };
        let retry_server = sent_to(&driver.end_attempt(id, 0, server, outcome));
        if let Some(second) = retry_server {
            driver.end_attempt(id, 1, second, Outcome::Served);
        }
    }
    assert!(!driver.servers_in_use().contains(&3));
}
