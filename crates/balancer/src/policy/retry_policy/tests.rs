use super::{RetryDecision, RetryPolicy, RetryRefusal, RetryTarget};
use crate::fleet::Fleet;
use crate::policy::retry_budget::PriorExecution;
use crate::policy::test_support::{
    FIRST, MS, SECOND, class, eject, fleet, request, restart, settings,
};
use crate::state::{RequestState, RetryScope};
use crate::{
    DeduplicationScope, EjectionCause, Endpoint, Idempotency, Micros, Outcome, RequestClass,
    ServerId, Settings,
};

fn fleet_of_class(class: RequestClass) -> Fleet {
    let classes = vec![class];
    fleet(
        Settings {
            classes,
            ..settings()
        },
        4,
    )
}

/// A request whose first attempt, at a server of cell 3, ended without a response.
fn request_with_an_unclear_end(fleet: &Fleet) -> RequestState {
    let mut request = request(fleet);
    let endpoint = Endpoint {
        cell: 3,
        ..Endpoint::ready(ServerId(0), 0)
    };
    request.on_attempt_sent(&endpoint, fleet.now);
    request.on_attempt_ended(0, Outcome::Reset);
    request
}

fn decide(fleet: &Fleet, request: &RequestState) -> RetryDecision {
    RetryPolicy::new().decide(fleet, request)
}

fn refusal(fleet: &Fleet, request: &RequestState) -> RetryRefusal {
    match decide(fleet, request) {
        RetryDecision::Refuse(refusal) => refusal,
        retry => panic!("{retry:?}"),
    }
}

#[test]
fn request_that_never_executed_may_be_retried_anywhere_whatever_its_class() {
    let fleet = fleet_of_class(RequestClass {
        idempotency: Idempotency::NonIdempotent,
        ..class()
    });
    let mut request = request_with_an_unclear_end(&fleet);
    request.on_attempt_ended(0, Outcome::Rejected);
    let expected = RetryDecision::Retry {
        scope: RetryScope::Anywhere,
        prior: PriorExecution::Impossible,
    };
    assert_eq!(decide(&fleet, &request), expected);
}

#[test]
fn request_that_must_not_execute_twice_is_not_retried_once_it_may_have_executed() {
    let fleet = fleet_of_class(RequestClass {
        idempotency: Idempotency::NonIdempotent,
        ..class()
    });
    let request = request_with_an_unclear_end(&fleet);
    assert_eq!(refusal(&fleet, &request), RetryRefusal::NotIdempotent);
}

#[test]
fn idempotency_key_keeps_a_retry_to_the_cell_while_it_is_remembered() {
    let mut fleet = fleet_of_class(RequestClass {
        idempotency: Idempotency::IdempotencyKey,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window: 100 * MS,
        ..class()
    });
    let request = request_with_an_unclear_end(&fleet);
    let expected = RetryDecision::Retry {
        scope: RetryScope::Cell(3),
        prior: PriorExecution::Possible,
    };
    fleet.now += 49 * MS;
    assert_eq!(decide(&fleet, &request), expected);
    fleet.now += MS;
    let refusal = refusal(&fleet, &request);
    assert_eq!(refusal, RetryRefusal::DeduplicationWindowClosed);
}

#[test]
fn request_is_not_retried_once_its_response_has_started_or_its_attempts_are_used_up() {
    let fleet = fleet_of_class(class());
    let mut streaming = request_with_an_unclear_end(&fleet);
    streaming.on_response_started();
    assert_eq!(refusal(&fleet, &streaming), RetryRefusal::ResponseStarted);
    let mut exhausted = request_with_an_unclear_end(&fleet);
    for number in 1..3 {
        exhausted.on_attempt_sent(&Endpoint::ready(ServerId(1), 1), fleet.now);
        exhausted.on_attempt_ended(number, Outcome::Reset);
    }
    assert_eq!(refusal(&fleet, &exhausted), RetryRefusal::AttemptsExhausted);
}

#[test]
fn retry_must_leave_two_steps_for_a_response_within_the_objective() {
    let mut fleet = fleet_of_class(class());
    let request = request_with_an_unclear_end(&fleet);
    fleet.now += 250 * MS - 2 * fleet.settings.step - 1;
    assert!(matches!(
        decide(&fleet, &request),
        RetryDecision::Retry { .. }
    ));
    fleet.now += 1;
    assert_eq!(refusal(&fleet, &request), RetryRefusal::TooLateForValue);
}

#[test]
fn late_retry_is_useful_until_the_deadline_where_late_responses_have_value() {
    let mut fleet = fleet_of_class(RequestClass {
        late_value: 0.2,
        ..class()
    });
    let request = request_with_an_unclear_end(&fleet);
    fleet.now += 599 * MS;
    assert!(matches!(
        decide(&fleet, &request),
        RetryDecision::Retry { .. }
    ));
    fleet.now += MS;
    assert_eq!(refusal(&fleet, &request), RetryRefusal::DeadlinePassed);
}

#[test]
fn hedged_request_needs_permission_and_is_never_sent_a_third_time() {
    let mut fleet = fleet_of_class(class());
    let mut request = request(&fleet);
    let endpoint = Endpoint::ready(ServerId(0), 0);
    request.on_attempt_sent(&endpoint, fleet.now);
    assert!(matches!(
        decide(&fleet, &request),
        RetryDecision::Retry { .. }
    ));
    fleet.settings.retries.hedging = false;
    assert_eq!(refusal(&fleet, &request), RetryRefusal::HedgingDisabled);
    fleet.settings.retries.hedging = true;
    request.on_attempt_sent(&endpoint, fleet.now);
    assert_eq!(refusal(&fleet, &request), RetryRefusal::EnoughInFlight);
}

#[test]
fn spent_budget_refuses_until_twenty_requests_have_earned_a_retry() {
    let fleet = fleet_of_class(class());
    let request = request_with_an_unclear_end(&fleet);
    let mut policy = RetryPolicy::new();
    (0..5).for_each(|_| policy.on_retry(PriorExecution::Possible));
    let spent = RetryDecision::Refuse(RetryRefusal::BudgetExhausted);
    assert_eq!(policy.decide(&fleet, &request), spent);
    (0..21).for_each(|_| policy.on_request_arrived());
    assert!(matches!(
        policy.decide(&fleet, &request),
        RetryDecision::Retry { .. }
    ));
}

#[test]
fn retry_goes_neither_to_a_suspected_server_nor_to_one_in_slow_start() {
    let mut fleet = fleet_of_class(class());
    let judge = |fleet: &Fleet| RetryPolicy::judge_target(&fleet.servers[FIRST]);
    assert_eq!(judge(&fleet), RetryTarget::Suitable);
    restart(&mut fleet, FIRST);
    assert_eq!(judge(&fleet), RetryTarget::InSlowStart);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(judge(&fleet), RetryTarget::Untrusted);
    assert_eq!(
        RetryPolicy::judge_target(&fleet.servers[SECOND]),
        RetryTarget::Suitable
    );
}

#[test]
fn attempt_times_out_before_an_objective_after_which_responses_are_worthless() {
    let timeout = |late_value: f64| -> Micros {
        let fleet = fleet_of_class(RequestClass {
            late_value,
            ..class()
        });
        RetryPolicy::attempt_timeout(&fleet, &request(&fleet))
    };
    assert_eq!(timeout(0.0), 248 * MS);
    assert_eq!(timeout(0.2), 600 * MS);
}
