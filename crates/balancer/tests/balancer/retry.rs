//! Whether and where a request is sent again.

use crate::common::{
    Driver, MS, class, endpoint, endpoint_changed, is_failed, is_rejected, sent_to, settings,
};
use arrowstand_balancer::{
    DeduplicationScope, Endpoint, Idempotency, Micros, Outcome, RequestClass, ServerId,
};

/// After one attempt ended so, is there another, and if not, which final answer?
fn after(class: RequestClass, outcome: Outcome, wait: Micros) -> (&'static str, bool) {
    let mut settings = settings();
    settings.classes = vec![class];
    let mut driver = Driver::new(settings, 8);
    let (id, actions) = driver.request(0);
    let first = sent_to(&actions).expect("sent");
    driver.now += wait;
    let actions = driver.end_attempt(id, 0, first, outcome);
    let same_cell = sent_to(&actions).is_some_and(|s| s.0 / 2 == first.0 / 2);
    let answer = match (sent_to(&actions), is_rejected(&actions), is_failed(&actions)) {
        (Some(_), false, false) => "again",
        (None, true, false) => "refused",
        (None, false, true) => "failed",
        other => panic!("not one answer: {other:?}"),
    };
    (answer, same_cell)
}

#[test]
fn retry_follows_idempotency_and_outcome() {
    use Outcome::{ConnectFailed, Rejected, Reset, ServerError};
    for outcome in [ConnectFailed, Rejected] {
        for idempotency in [Idempotency::Idempotent, Idempotency::IdempotencyKey, Idempotency::NonIdempotent]
        {
            assert_eq!(after(class(idempotency), outcome, 5 * MS).0, "again", "{idempotency:?} {outcome:?}");
        }
    }
    for outcome in [ServerError, Reset] {
        assert_eq!(after(class(Idempotency::Idempotent), outcome, 5 * MS).0, "again");
        assert_eq!(after(class(Idempotency::IdempotencyKey), outcome, 5 * MS), ("again", true));
        assert_eq!(after(class(Idempotency::NonIdempotent), outcome, 5 * MS).0, "failed");
    }
}

#[test]
fn closed_deduplication_window_ends_a_request_with_idempotency_key() {
    let short = RequestClass { deduplication_window: 60 * MS, ..class(Idempotency::IdempotencyKey) };
    assert_eq!(after(short.clone(), Outcome::Reset, 5 * MS).0, "again");
    assert_eq!(after(short.clone(), Outcome::Reset, 20 * MS).0, "failed");
    let everywhere = RequestClass { deduplication_scope: DeduplicationScope::All, ..short };
    assert_eq!(after(everywhere, Outcome::Reset, 20 * MS).0, "refused");
}

#[test]
fn retries_spare_servers_in_slow_start() {
    let mut driver = Driver::new(settings(), 1);
    let launched = Some(driver.now);
    driver.handle(endpoint_changed(Endpoint { incarnation: launched, ..endpoint(7) }));
    for _ in 0..20 {
        let (id, actions) = driver.request(0);
        let Some(server) = sent_to(&actions) else { continue };
        let next = sent_to(&driver.end_attempt(id, 0, server, Outcome::Rejected));
        assert_ne!(next, Some(ServerId(7)));
    }
}

#[test]
fn fleet_that_rejects_does_not_get_requests_several_times() {
    let mut driver = Driver::new(settings(), 40);
    let mut further = 0;
    for _ in 0..400 {
        let (id, actions) = driver.request(0);
        let Some(server) = sent_to(&actions) else { continue };
        if let Some(next) = sent_to(&driver.end_attempt(id, 0, server, Outcome::Rejected)) {
            driver.end_attempt(id, 1, next, Outcome::Served);
            further += 1;
        }
    }
    assert!(further <= 130, "{further}");
}

#[test]
fn attempt_that_used_up_its_objective_is_not_retried() {
    let mut driver = Driver::new(settings(), 4);
    let (id, actions) = driver.request(0);
    driver.now += 248 * MS;
    let after = driver.end_attempt(id, 0, sent_to(&actions).expect("sent"), Outcome::TimedOut);
    assert!(sent_to(&after).is_none() && is_rejected(&after));
}
