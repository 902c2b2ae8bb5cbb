use super::{RetryDecision, RetryPolicy, RetryRefusal, RetryTarget};
use crate::fleet::Fleet;
use crate::policy::retry_budget::PriorExecution;
use crate::policy::test_support::{FIRST, MS, class, eject, fleet_with_class, request, restart};
use crate::state::{RequestState, RetryScope};
use crate::{DeduplicationScope, EjectionCause, Endpoint, Idempotency, Outcome, ServerId};

/// A fleet with one request class. Idempotency keys are remembered for 100 ms within a cell.
fn fleet(idempotency: Idempotency, late_value: f64) -> Fleet {
    let mut class = class();
    class.idempotency = idempotency;
    class.late_value = late_value;
    class.deduplication_scope = DeduplicationScope::Cell;
    class.deduplication_window = 100 * MS;
    fleet_with_class(class, 4)
}

fn send(fleet: &Fleet, request: &mut RequestState) -> u32 {
    let mut endpoint = Endpoint::ready(ServerId(0), 0);
    endpoint.cell = 3;
    request.on_attempt_sent(&endpoint, fleet.now)
}

/// A request whose only attempt, at a server of cell 3, ended with this outcome.
fn request_after(fleet: &Fleet, outcome: Outcome) -> RequestState {
    let mut request = request(fleet);
    let attempt = send(fleet, &mut request);
    request.on_attempt_ended(attempt, outcome);
    request
}

fn decide(fleet: &Fleet, request: &RequestState) -> RetryDecision {
    RetryPolicy::new().decide(fleet, request)
}

fn retry(scope: RetryScope, prior: PriorExecution) -> RetryDecision {
    RetryDecision::Retry { scope, prior }
}

const ANYWHERE: RetryDecision = RetryDecision::Retry {
    scope: RetryScope::Anywhere,
    prior: PriorExecution::Possible,
};

#[test]
fn request_that_never_executed_may_be_retried_anywhere_regardless_of_its_class() {
    let fleet = fleet(Idempotency::NonIdempotent, 0.0);
    let request = request_after(&fleet, Outcome::Rejected);
    let expected = retry(RetryScope::Anywhere, PriorExecution::Impossible);
    assert_eq!(decide(&fleet, &request), expected);
}

#[test]
fn non_idempotent_request_is_not_retried_once_it_may_have_executed() {
    let fleet = fleet(Idempotency::NonIdempotent, 0.0);
    let request = request_after(&fleet, Outcome::Reset);
    let refusal = RetryDecision::Refuse(RetryRefusal::NotIdempotent);
    assert_eq!(decide(&fleet, &request), refusal);
}

#[test]
fn idempotency_key_limits_retries_to_the_cell_until_the_window_closes() {
    let mut fleet = fleet(Idempotency::IdempotencyKey, 0.0);
    let request = request_after(&fleet, Outcome::Reset);
    fleet.now += 49 * MS;
    let in_cell = retry(RetryScope::Cell(3), PriorExecution::Possible);
    assert_eq!(decide(&fleet, &request), in_cell);
    fleet.now += MS;
    let refusal = RetryDecision::Refuse(RetryRefusal::DeduplicationWindowClosed);
    assert_eq!(decide(&fleet, &request), refusal);
}

#[test]
fn request_is_not_retried_after_its_response_started_or_at_the_maximum_of_attempts() {
    let fleet = fleet(Idempotency::Idempotent, 0.0);
    let mut request = request_after(&fleet, Outcome::Reset);
    for _ in 1..3 {
        assert_eq!(decide(&fleet, &request), ANYWHERE);
        let attempt = send(&fleet, &mut request);
        request.on_attempt_ended(attempt, Outcome::Reset);
    }
    let exhausted = RetryDecision::Refuse(RetryRefusal::AttemptsExhausted);
    assert_eq!(decide(&fleet, &request), exhausted);
    request.on_response_started();
    let started = RetryDecision::Refuse(RetryRefusal::ResponseStarted);
    assert_eq!(decide(&fleet, &request), started);
}

#[test]
fn retries_end_before_the_objective_or_at_the_deadline_if_late_responses_have_value() {
    let before_objective = 250 * MS - 2 * MS;
    let table = [
        (0.0, before_objective, RetryRefusal::TooLateForObjective),
        (0.2, 600 * MS, RetryRefusal::DeadlinePassed),
    ];
    for (late_value, end, refusal) in table {
        let mut fleet = fleet(Idempotency::Idempotent, late_value);
        let request = request_after(&fleet, Outcome::Reset);
        assert_eq!(RetryPolicy::attempt_timeout(&fleet, &request), end);
        fleet.now += end - 1;
        assert_eq!(decide(&fleet, &request), ANYWHERE);
        fleet.now += 1;
        let expected = RetryDecision::Refuse(refusal);
        assert_eq!(decide(&fleet, &request), expected);
    }
}

#[test]
fn hedging_must_be_enabled_and_is_limited_to_two_attempts_in_flight() {
    let mut fleet = fleet(Idempotency::Idempotent, 0.0);
    let mut request = request(&fleet);
    send(&fleet, &mut request);
    assert_eq!(decide(&fleet, &request), ANYWHERE);
    fleet.settings.retries.hedging = false;
    let disabled = RetryDecision::Refuse(RetryRefusal::HedgingDisabled);
    assert_eq!(decide(&fleet, &request), disabled);
    fleet.settings.retries.hedging = true;
    send(&fleet, &mut request);
    let too_many = RetryDecision::Refuse(RetryRefusal::TooManyInFlight);
    assert_eq!(decide(&fleet, &request), too_many);
}

#[test]
fn exhausted_budget_refuses_retries_until_enough_requests_have_arrived() {
    let fleet = fleet(Idempotency::Idempotent, 0.0);
    let request = request_after(&fleet, Outcome::Reset);
    let mut policy = RetryPolicy::new();
    (0..5).for_each(|_| policy.on_retry(PriorExecution::Possible));
    let exhausted = RetryDecision::Refuse(RetryRefusal::BudgetExhausted);
    assert_eq!(policy.decide(&fleet, &request), exhausted);
    (0..21).for_each(|_| policy.on_request_arrived());
    assert_eq!(policy.decide(&fleet, &request), ANYWHERE);
}

#[test]
fn retry_target_must_be_neither_suspected_nor_in_slow_start() {
    let mut fleet = fleet(Idempotency::Idempotent, 0.0);
    let assess = |fleet: &Fleet| RetryPolicy::assess_target(&fleet.servers[FIRST]);
    assert_eq!(assess(&fleet), RetryTarget::Suitable);
    restart(&mut fleet, FIRST);
    assert_eq!(assess(&fleet), RetryTarget::InSlowStart);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(assess(&fleet), RetryTarget::Untrusted);
}
