use super::{RetryDecision, RetryPolicy, RetryRefusal, RetryTarget};
use crate::fleet::Fleet;
use crate::policy::retry_budget::PriorExecution;
use crate::policy::test_support::{FIRST, MS, class, eject, fleet_of, request, restart};
use crate::state::{RequestState, RetryScope};
use crate::{DeduplicationScope, EjectionCause, Endpoint, Idempotency, Outcome, ServerId};

/// The first request of a fleet whose class is idempotent, or not, or has a key for 100 ms in a cell.
fn fleet(idempotency: Idempotency, late_value: f64) -> Fleet {
    let mut class = class();
    class.idempotency = idempotency;
    class.late_value = late_value;
    class.deduplication_scope = DeduplicationScope::Cell;
    class.deduplication_window = 100 * MS;
    fleet_of(class, 4)
}

fn send(fleet: &Fleet, request: &mut RequestState) -> u32 {
    let mut endpoint = Endpoint::ready(ServerId(0), 0);
    endpoint.cell = 3;
    request.on_attempt_sent(&endpoint, fleet.now)
}

/// A request whose only attempt, at a server of cell 3, ended so.
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
fn request_that_never_executed_may_be_retried_anywhere_whatever_its_class() {
    let fleet = fleet(Idempotency::NonIdempotent, 0.0);
    let request = request_after(&fleet, Outcome::Rejected);
    let expected = retry(RetryScope::Anywhere, PriorExecution::Impossible);
    assert_eq!(decide(&fleet, &request), expected);
}

#[test]
fn request_that_must_not_execute_twice_is_not_retried_once_it_may_have_executed() {
    let fleet = fleet(Idempotency::NonIdempotent, 0.0);
    let request = request_after(&fleet, Outcome::Reset);
    let refusal = RetryDecision::Refuse(RetryRefusal::NotIdempotent);
    assert_eq!(decide(&fleet, &request), refusal);
}

#[test]
fn idempotency_key_keeps_a_retry_to_the_cell_while_it_is_remembered() {
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
fn request_is_not_retried_once_its_response_has_started_or_its_attempts_are_used_up() {
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
fn retries_end_two_steps_before_the_objective_or_at_the_deadline_if_late_responses_have_value() {
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
fn hedged_request_needs_permission_and_is_never_sent_a_third_time() {
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
fn spent_budget_refuses_until_twenty_requests_have_earned_a_retry() {
    let fleet = fleet(Idempotency::Idempotent, 0.0);
    let request = request_after(&fleet, Outcome::Reset);
    let mut policy = RetryPolicy::new();
    (0..5).for_each(|_| policy.on_retry(PriorExecution::Possible));
    let spent = RetryDecision::Refuse(RetryRefusal::BudgetExhausted);
    assert_eq!(policy.decide(&fleet, &request), spent);
    (0..21).for_each(|_| policy.on_request_arrived());
    assert_eq!(policy.decide(&fleet, &request), ANYWHERE);
}

#[test]
fn retry_goes_neither_to_a_suspected_server_nor_to_one_in_slow_start() {
    let mut fleet = fleet(Idempotency::Idempotent, 0.0);
    let assess = |fleet: &Fleet| RetryPolicy::assess_target(&fleet.servers[FIRST]);
    assert_eq!(assess(&fleet), RetryTarget::Suitable);
    restart(&mut fleet, FIRST);
    assert_eq!(assess(&fleet), RetryTarget::InSlowStart);
    eject(&mut fleet, FIRST, EjectionCause::Attempts);
    assert_eq!(assess(&fleet), RetryTarget::Untrusted);
}
