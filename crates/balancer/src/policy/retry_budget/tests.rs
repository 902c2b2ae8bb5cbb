use super::RetryBudget;

/// Retries that the budget covers one after another.
fn covered_retries(budget: &mut RetryBudget, may_have_executed: bool) -> u32 {
    let mut retries = 0;
    while budget.covers_retry(may_have_executed) {
        budget.on_retry(may_have_executed);
        retries += 1;
    }
    retries
}

#[test]
fn new_budget_covers_five_retries_or_four_times_as_many_that_never_executed() {
    assert_eq!(covered_retries(&mut RetryBudget::new(), true), 5);
    assert_eq!(covered_retries(&mut RetryBudget::new(), false), 20);
}

#[test]
fn budget_is_capped_at_ten_retries_however_many_requests_arrive() {
    let mut budget = RetryBudget::new();
    (0..10_000).for_each(|_| budget.on_request_arrived());
    assert_eq!(covered_retries(&mut budget, true), 10);
}

#[test]
fn twenty_one_requests_earn_one_retry_after_the_budget_is_spent() {
    let mut budget = RetryBudget::new();
    covered_retries(&mut budget, true);
    (0..21).for_each(|_| budget.on_request_arrived());
    assert_eq!(covered_retries(&mut budget, true), 1);
}
