//! Decides whether a request is retried, and on which servers.
//!
//! A further attempt must be safe, useful and within the retry budget. Safe: no attempt can have
//! executed, or the class is idempotent, or the servers that the retry is limited to still remember
//! its idempotency key. Useful: the response has not started, at most one attempt is in flight, and
//! there is time left for a response that has value. The budget is that of [`RetryBudget`]. A retry
//! is sent only to a server that is neither suspected, possibly draining nor in slow start.

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::policy::retry_budget::{PriorExecution, RetryBudget};
use crate::state::{Attempt, RequestState, RetryScope, ServerState};
use crate::{DeduplicationScope, Idempotency, Micros, RequestClass};

/// Retries are sent only while more than this time is left of the deduplication window, in
/// microseconds: the attempt still has to reach the server within the window.
const DEDUPLICATION_MARGIN: Micros = 50_000;
/// Time before the latency objective at which an attempt times out if a late response has no value,
/// in multiples of [`Settings::min_call_interval`](crate::Settings::min_call_interval). With fewer,
/// the final response comes after the objective, as a timeout is detected up to one interval late.
const OBJECTIVE_MARGIN_CALL_INTERVALS: Micros = 2;

/// Whether a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// It may be retried.
    Retry {
        /// The servers on which a retry is safe.
        scope: RetryScope,
        /// Whether an earlier attempt may have executed.
        prior: PriorExecution,
    },
    /// It is not retried.
    Refuse(RetryRefusal),
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryRefusal {
    /// Its response has started.
    ResponseStarted,
    /// It has reached the maximum number of attempts.
    AttemptsExhausted,
    /// Its deadline has passed.
    DeadlinePassed,
    /// An attempt is in flight, and the settings do not allow hedged requests.
    HedgingDisabled,
    /// It is not idempotent, and an attempt may have executed.
    NotIdempotent,
    /// Servers may no longer remember its idempotency key when the retry arrives.
    DeduplicationWindowClosed,
    /// Two attempts are in flight.
    TooManyInFlight,
    /// A response would come after the latency objective, and late responses have no value.
    TooLateForObjective,
    /// The retry budget does not allow it.
    BudgetExhausted,
}

/// Whether a server is suitable for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryTarget {
    /// The server may be sent retries.
    Suitable,
    /// It is suspected, or may be draining.
    Untrusted,
    /// It is in slow start.
    InSlowStart,
}

/// Decides on retries and hedged requests; owns the retry budget.
pub(crate) struct RetryPolicy {
    budget: RetryBudget,
}

impl RetryPolicy {
    /// Creates a policy with the initial retry budget.
    pub(crate) fn new() -> Self {
        Self {
            budget: RetryBudget::new(),
        }
    }

    /// Adds the tokens of a request that arrived to the retry budget.
    pub(crate) fn on_request_arrived(&mut self) {
        self.budget.on_request_arrived();
    }

    /// Spends the tokens of a retry. There is no refund if the host does not send the attempt.
    pub(crate) fn on_retry(&mut self, prior: PriorExecution) {
        self.budget.on_retry(prior);
    }

    /// Decides whether a request may be retried now.
    pub(crate) fn decide(&self, fleet: &Fleet, request: &RequestState) -> RetryDecision {
        match self.check_all(fleet, request) {
            Ok((scope, prior)) => RetryDecision::Retry { scope, prior },
            Err(refusal) => RetryDecision::Refuse(refusal),
        }
    }

    fn check_all(
        &self,
        fleet: &Fleet,
        request: &RequestState,
    ) -> Result<(RetryScope, PriorExecution), RetryRefusal> {
        check_limits(fleet, request)?;
        let scope = safe_scope(fleet, request)?;
        if request.in_flight_count() > 1 {
            return Err(RetryRefusal::TooManyInFlight);
        }
        if is_too_late_for_objective(fleet, request) {
            return Err(RetryRefusal::TooLateForObjective);
        }
        let prior = PriorExecution::of(request);
        if self.budget.allows_retry(prior) {
            Ok((scope, prior))
        } else {
            Err(RetryRefusal::BudgetExhausted)
        }
    }

    /// Determines whether a server is suitable for a retry.
    pub(crate) fn assess_target(server: &ServerState) -> RetryTarget {
        if server.is_untrusted() {
            RetryTarget::Untrusted
        } else if server.slow_start.is_active() {
            RetryTarget::InSlowStart
        } else {
            RetryTarget::Suitable
        }
    }

    /// Timeout of an attempt sent now, in microseconds. If a late response has no value, the
    /// attempt ends before the objective, so that the request still gets its final response in
    /// time.
    pub(crate) fn attempt_timeout(fleet: &Fleet, request: &RequestState) -> Micros {
        let class = fleet.settings.class(request.class());
        let deadline_at = request.deadline_at();
        let timeout_at = if has_no_late_value(class) {
            let objective_at = request.objective_at();
            deadline_at.min(objective_at.saturating_sub(objective_margin(fleet)))
        } else {
            deadline_at
        };
        timeout_at.saturating_sub(fleet.now).max(1)
    }
}

/// Checks the state of the request and the limits in the settings that apply to every class.
fn check_limits(fleet: &Fleet, request: &RequestState) -> Result<(), RetryRefusal> {
    let retries = &fleet.settings.retries;
    if request.is_streaming() {
        return Err(RetryRefusal::ResponseStarted);
    }
    if request.attempt_count() >= retries.max_attempts as usize {
        return Err(RetryRefusal::AttemptsExhausted);
    }
    if fleet.now >= request.deadline_at() {
        return Err(RetryRefusal::DeadlinePassed);
    }
    if request.in_flight_count() > 0 && !retries.hedging {
        return Err(RetryRefusal::HedgingDisabled);
    }
    Ok(())
}

/// Returns the servers on which a retry cannot cause a second execution. No other code decides
/// this.
fn safe_scope(fleet: &Fleet, request: &RequestState) -> Result<RetryScope, RetryRefusal> {
    let Some(first) = request.first_possible_execution() else {
        return Ok(RetryScope::Anywhere);
    };
    let class = fleet.settings.class(request.class());
    match class.idempotency {
        Idempotency::Idempotent => Ok(RetryScope::Anywhere),
        Idempotency::NonIdempotent => Err(RetryRefusal::NotIdempotent),
        Idempotency::IdempotencyKey => {
            let remembered_until = first.sent_at() + class.deduplication_window;
            if fleet.now + DEDUPLICATION_MARGIN >= remembered_until {
                return Err(RetryRefusal::DeduplicationWindowClosed);
            }
            Ok(deduplication_scope(class, first))
        }
    }
}

fn deduplication_scope(class: &RequestClass, first: &Attempt) -> RetryScope {
    match class.deduplication_scope {
        DeduplicationScope::All => RetryScope::Anywhere,
        DeduplicationScope::Zone => RetryScope::Zone(first.zone()),
        DeduplicationScope::Cell => RetryScope::Cell(first.cell()),
    }
}

fn is_too_late_for_objective(fleet: &Fleet, request: &RequestState) -> bool {
    let class = fleet.settings.class(request.class());
    has_no_late_value(class) && fleet.now + objective_margin(fleet) >= request.objective_at()
}

fn has_no_late_value(class: &RequestClass) -> bool {
    class.late_value == 0.0
}

fn objective_margin(fleet: &Fleet) -> Micros {
    OBJECTIVE_MARGIN_CALL_INTERVALS * fleet.settings.min_call_interval
}
