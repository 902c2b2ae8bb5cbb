use super::{PriorExecution, RetryBudget};

/// Number of consecutive retries that the budget allows.
fn allowed_retries(budget: &mut RetryBudget, prior: PriorExecution) -> u32 {
    let mut retries = 0;
    while budget.allows_retry(prior) {
        budget.on_retry(prior);
        retries += 1;
    }
    retries
}

#[test]
fn new_budget_allows_five_retries_or_four_times_as_many_that_never_executed() {
    assert_eq!(
        allowed_retries(&mut RetryBudget::new(), PriorExecution::Possible),
        5
    );
    assert_eq!(
        allowed_retries(&mut RetryBudget::new(), PriorExecution::Impossible),
        20
    );
}

#[test]
fn budget_is_capped_at_ten_retries_however_many_requests_arrive() {
    let mut budget = RetryBudget::new();
    (0..10_000).for_each(|_| budget.on_request_arrived());
    assert_eq!(allowed_retries(&mut budget, PriorExecution::Possible), 10);
}

#[test]
fn twenty_one_requests_add_enough_tokens_for_one_retry_to_an_exhausted_budget() {
    let mut budget = RetryBudget::new();
    allowed_retries(&mut budget, PriorExecution::Possible);
    (0..21).for_each(|_| budget.on_request_arrived());
    assert_eq!(allowed_retries(&mut budget, PriorExecution::Possible), 1);
}
