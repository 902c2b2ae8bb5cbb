//! Whether and where a request is sent again.

use crate::common::{
    Driver, MS, class, endpoint, endpoint_changed, has_failure, has_rejection, sent_to, settings,
};
use arrowstand_balancer::{
    DeduplicationScope, Endpoint, Idempotency, Micros, Outcome, RequestClass, ServerId,
};

/// What the balancer does at the end of an attempt.
#[derive(Debug, PartialEq)]
enum Next {
    Retried { same_cell: bool },
    Rejected,
    Failed,
}

/// What follows a first attempt of this class that ended so `end_of_attempt` this time.
fn next_step(class: RequestClass, outcome: Outcome, wait: Micros) -> Next {
    let mut settings = settings();
    settings.classes = vec![class];
    let mut driver = Driver::new(settings, 8);
    let (id, actions) = driver.request(0);
    let first = sent_to(&actions).expect("sent");
    driver.now += wait;
    let actions = driver.end_attempt(id, 0, first, outcome);
    match (
        sent_to(&actions),
        has_rejection(&actions),
        has_failure(&actions),
    ) {
        (Some(second), false, false) => Next::Retried {
            same_cell: second.0 / 2 == first.0 / 2,
        },
        (None, true, false) => Next::Rejected,
        (None, false, true) => Next::Failed,
        other => panic!("not one answer: {other:?}"),
    }
}

#[test]
fn retry_follows_idempotency_and_outcome() {
    use Outcome::{ConnectFailed, Rejected, Reset, ServerError};
    for outcome in [ConnectFailed, Rejected] {
        for idempotency in [
            Idempotency::Idempotent,
            Idempotency::IdempotencyKey,
            Idempotency::NonIdempotent,
        ] {
            let next = next_step(class(idempotency), outcome, 5 * MS);
            assert!(
                matches!(next, Next::Retried { .. }),
                "{idempotency:?} {outcome:?}"
            );
        }
    }
    for outcome in [ServerError, Reset] {
        let next = |idempotency| next_step(class(idempotency), outcome, 5 * MS);
        assert!(matches!(
            next(Idempotency::Idempotent),
            Next::Retried { .. }
        ));
        assert_eq!(
            next(Idempotency::IdempotencyKey),
            Next::Retried { same_cell: true }
        );
        assert_eq!(next(Idempotency::NonIdempotent), Next::Failed);
    }
}

#[test]
fn closed_deduplication_window_ends_a_request_with_idempotency_key() {
    let short = RequestClass {
        deduplication_window: 60 * MS,
        ..class(Idempotency::IdempotencyKey)
    };
    assert!(matches!(
        next_step(short.clone(), Outcome::Reset, 5 * MS),
        Next::Retried { .. }
    ));
    assert_eq!(
        next_step(short.clone(), Outcome::Reset, 20 * MS),
        Next::Failed
    );
    let everywhere = RequestClass {
        deduplication_scope: DeduplicationScope::All,
        ..short
    };
    assert_eq!(
        next_step(everywhere, Outcome::Reset, 20 * MS),
        Next::Rejected
    );
}

#[test]
fn retries_spare_servers_in_slow_start() {
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
fn fleet_that_rejects_does_not_get_requests_several_times() {
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
fn attempt_that_used_up_its_objective_is_not_retried() {
    let mut driver = Driver::new(settings(), 4);
    let (id, actions) = driver.request(0);
    driver.now += 248 * MS;
    let end_of_attempt =
        driver.end_attempt(id, 0, sent_to(&actions).expect("sent"), Outcome::TimedOut);
    assert!(sent_to(&end_of_attempt).is_none() && has_rejection(&end_of_attempt));
}
