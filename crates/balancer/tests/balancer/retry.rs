//! Retries: whether a request is retried, and on which server.

use crate::common::{
    Driver, MS, class, endpoint, endpoint_changed, has_failure, has_rejection, sent_to, settings,
};
use arrowstand_balancer::{
    DeduplicationScope, Endpoint, Idempotency, Micros, Outcome, RequestClass, ServerId,
};

/// What the balancer does after the end of an attempt.
#[derive(Debug, PartialEq)]
enum NextStep {
    Retried { same_cell: bool },
    Rejected,
    Failed,
}

/// Returns what follows a first attempt of the given class that ended with the given outcome,
/// `elapsed` after it was sent.
fn next_step(class: RequestClass, outcome: Outcome, elapsed: Micros) -> NextStep {
    let mut settings = settings();
    settings.classes = vec![class];
    let mut driver = Driver::new(settings, 8);
    let (id, actions) = driver.request(0);
    let first = sent_to(&actions).expect("the request is sent");
    driver.now += elapsed;
    let actions = driver.end_attempt(id, 0, first, outcome);
    match (
        sent_to(&actions),
        has_rejection(&actions),
        has_failure(&actions),
    ) {
        (Some(second), false, false) => NextStep::Retried {
            same_cell: second.0 / 2 == first.0 / 2,
        },
        (None, true, false) => NextStep::Rejected,
        (None, false, true) => NextStep::Failed,
        other => panic!("expected one retry or final response: {other:?}"),
    }
}

#[test]
fn retry_depends_on_idempotency_and_on_whether_the_attempt_may_have_executed() {
    use Outcome::{ConnectFailed, Rejected, Reset, ServerError};
    for outcome in [ConnectFailed, Rejected] {
        for idempotency in [
            Idempotency::Idempotent,
            Idempotency::IdempotencyKey,
            Idempotency::NonIdempotent,
        ] {
            let next = next_step(class(idempotency), outcome, 5 * MS);
            assert!(
                matches!(next, NextStep::Retried { .. }),
                "{idempotency:?} {outcome:?}"
            );
        }
    }
    for outcome in [ServerError, Reset] {
        let next = |idempotency| next_step(class(idempotency), outcome, 5 * MS);
        assert!(matches!(
            next(Idempotency::Idempotent),
            NextStep::Retried { .. }
        ));
        assert_eq!(
            next(Idempotency::IdempotencyKey),
            NextStep::Retried { same_cell: true }
        );
        assert_eq!(next(Idempotency::NonIdempotent), NextStep::Failed);
    }
}

#[test]
fn request_with_idempotency_key_is_not_retried_near_the_end_of_its_deduplication_window() {
    let short_window = RequestClass {
        deduplication_window: 60 * MS,
        ..class(Idempotency::IdempotencyKey)
    };
    assert!(matches!(
        next_step(short_window.clone(), Outcome::Reset, 5 * MS),
        NextStep::Retried { .. }
    ));
    assert_eq!(
        next_step(short_window.clone(), Outcome::Reset, 20 * MS),
        NextStep::Failed
    );
    let shared_by_all_servers = RequestClass {
        deduplication_scope: DeduplicationScope::All,
        ..short_window
    };
    assert_eq!(
        next_step(shared_by_all_servers, Outcome::Reset, 20 * MS),
        NextStep::Rejected
    );
}

#[test]
fn retries_are_not_sent_to_servers_in_slow_start() {
    let mut driver = Driver::new(settings(), 1);
    let incarnation = Some(driver.now);
    driver.handle(endpoint_changed(Endpoint {
        incarnation,
        ..endpoint(7)
    }));
    for _ in 0..20 {
        let (id, actions) = driver.request(0);
        let Some(server) = sent_to(&actions) else {
            continue;
        };
        let next = sent_to(&driver.end_attempt(id, 0, server, Outcome::Rejected));
        assert_ne!(next, Some(ServerId(7)));
    }
}

#[test]
fn retries_are_limited_if_all_servers_reject() {
    let mut driver = Driver::new(settings(), 40);
    let mut retries = 0;
    for _ in 0..400 {
        let (id, actions) = driver.request(0);
        let Some(server) = sent_to(&actions) else {
            continue;
        };
        if let Some(next) = sent_to(&driver.end_attempt(id, 0, server, Outcome::Rejected)) {
            driver.end_attempt(id, 1, next, Outcome::Served);
            retries += 1;
        }
    }
    assert!(retries <= 130, "{retries}");
}

#[test]
fn request_is_rejected_if_its_attempt_used_up_the_objective() {
    let mut driver = Driver::new(settings(), 4);
    let (id, actions) = driver.request(0);
    driver.now += 248 * MS;
    let actions_at_end = driver.end_attempt(
        id,
        0,
        sent_to(&actions).expect("the request is sent"),
        Outcome::TimedOut,
    );
    assert!(sent_to(&actions_at_end).is_none() && has_rejection(&actions_at_end));
}
