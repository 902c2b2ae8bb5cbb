//! Whether a request is sent again, and where.
//!
//! A further attempt must be safe, useful and affordable. Safe: no attempt can have executed, or
//! the class is idempotent, or its idempotency key is still known to the servers that the retry is
//! limited to. Useful: the response has not started, at most one attempt is in flight, and time is
//! left for a response that has value. Affordable: the retry budget covers it ([`RetryBudget`]). A
//! retry goes only to a server that is neither suspected, possibly draining nor in slow start.

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::policy::retry_budget::{PriorExecution, RetryBudget};
use crate::state::{Attempt, RequestState, RetryScope, ServerState};
use crate::{DeduplicationScope, Idempotency, Micros, RequestClass};

/// Time before the deduplication window closes in which no retry is sent any more, in microseconds:
/// the attempt still has to reach the server. Inherited with the first version of the module; its
/// source was not recorded.
const DEDUPLICATION_MARGIN: Micros = 50_000;
/// Steps ([`Settings::min_call_interval`](crate::Settings::min_call_interval)) before a latency
/// objective ends at which an attempt ends that would be worthless late. With fewer, the request is
/// answered after its objective, as a timeout is noticed up to a step late. Inherited with the first
/// version of the module.
const OBJECTIVE_MARGIN_STEPS: Micros = 2;

/// Whether a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// It may be, to a server of this scope.
    Retry {
        /// The servers that drop a duplicate.
        scope: RetryScope,
        /// Whether an attempt may have executed.
        prior: PriorExecution,
    },
    /// It is not.
    Refuse(RetryRefusal),
}

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryRefusal {
    /// Its response has started.
    ResponseStarted,
    /// It has had as many attempts as the settings allow.
    AttemptsExhausted,
    /// Its client has given up.
    DeadlinePassed,
    /// An attempt is in flight, and the deployment allows no second one.
    HedgingDisabled,
    /// It must not execute twice, and an attempt may have executed.
    NotIdempotent,
    /// Its idempotency key may be forgotten by the time of the retry.
    DeduplicationWindowClosed,
    /// Two attempts are in flight.
    EnoughInFlight,
    /// A response would come after the objective, where it has no value.
    TooLateForValue,
    /// Retries would be more than the budget's share of the requests.
    BudgetExhausted,
}

/// Whether a server takes a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryTarget {
    /// It does.
    Suitable,
    /// It is suspected, or may be draining.
    Untrusted,
    /// It is in slow start.
    InSlowStart,
}

/// Decides about retries and hedged requests; owns the retry budget.
pub(crate) struct RetryPolicy {
    budget: RetryBudget,
}

impl RetryPolicy {
    /// A policy with a budget for the first retries.
    pub(crate) fn new() -> Self {
        Self {
            budget: RetryBudget::new(),
        }
    }

    /// A request arrived.
    pub(crate) fn on_request_arrived(&mut self) {
        self.budget.on_request_arrived();
    }

    /// A request is sent again: the only spending from the budget. It is not paid back where the
    /// host then does not send the attempt.
    pub(crate) fn on_retry(&mut self, prior: PriorExecution) {
        self.budget.on_retry(prior);
    }

    /// Whether a request may be sent again now.
    pub(crate) fn decide(&self, fleet: &Fleet, request: &RequestState) -> RetryDecision {
        match self.check(fleet, request) {
            Ok((scope, prior)) => RetryDecision::Retry { scope, prior },
            Err(refusal) => RetryDecision::Refuse(refusal),
        }
    }

    fn check(
        &self,
        fleet: &Fleet,
        request: &RequestState,
    ) -> Result<(RetryScope, PriorExecution), RetryRefusal> {
        check_attempts(fleet, request)?;
        let scope = safe_scope(fleet, request)?;
        if request.in_flight_count() > 1 {
            return Err(RetryRefusal::EnoughInFlight);
        }
        if is_too_late_for_value(fleet, request) {
            return Err(RetryRefusal::TooLateForValue);
        }
        let prior = PriorExecution::of(request);
        if self.budget.covers_retry(prior) {
            Ok((scope, prior))
        } else {
            Err(RetryRefusal::BudgetExhausted)
        }
    }

    /// Whether a server takes a retry.
    pub(crate) fn judge_target(server: &ServerState) -> RetryTarget {
        if server.is_untrusted() {
            RetryTarget::Untrusted
        } else if server.slow_start.is_active() {
            RetryTarget::InSlowStart
        } else {
            RetryTarget::Suitable
        }
    }

    /// Timeout of an attempt that is sent now, in microseconds. A late response that has no value
    /// is not waited for, so that the request can still be answered in time.
    pub(crate) fn attempt_timeout(fleet: &Fleet, request: &RequestState) -> Micros {
        let class = fleet.settings.class(request.class());
        let deadline_at = request.deadline_at();
        let until = if is_late_worthless(class) {
            let objective_at = request.objective_at();
            deadline_at.min(objective_at.saturating_sub(objective_margin(fleet)))
        } else {
            deadline_at
        };
        until.saturating_sub(fleet.now).max(1)
    }
}

/// What the request itself and the settings allow, whatever its class.
fn check_attempts(fleet: &Fleet, request: &RequestState) -> Result<(), RetryRefusal> {
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

/// The servers at which a further attempt cannot execute a second time. Nothing else decides that.
fn safe_scope(fleet: &Fleet, request: &RequestState) -> Result<RetryScope, RetryRefusal> {
    let Some(first) = request.first_possible_execution() else {
        return Ok(RetryScope::Anywhere);
    };
    let class = fleet.settings.class(request.class());
    match class.idempotency {
        Idempotency::Idempotent => Ok(RetryScope::Anywhere),
        Idempotency::NonIdempotent => Err(RetryRefusal::NotIdempotent),
        Idempotency::IdempotencyKey => {
            let known_until = first.sent_at() + class.deduplication_window;
            if fleet.now + DEDUPLICATION_MARGIN >= known_until {
                return Err(RetryRefusal::DeduplicationWindowClosed);
            }
            Ok(deduplicating_servers(class, first))
        }
    }
}

fn deduplicating_servers(class: &RequestClass, first: &Attempt) -> RetryScope {
    match class.deduplication_scope {
        DeduplicationScope::All => RetryScope::Anywhere,
        DeduplicationScope::Zone => RetryScope::Zone(first.zone()),
        DeduplicationScope::Cell => RetryScope::Cell(first.cell()),
    }
}

fn is_too_late_for_value(fleet: &Fleet, request: &RequestState) -> bool {
    let class = fleet.settings.class(request.class());
    is_late_worthless(class) && fleet.now + objective_margin(fleet) >= request.objective_at()
}

fn is_late_worthless(class: &RequestClass) -> bool {
    class.late_value == 0.0
}

fn objective_margin(fleet: &Fleet) -> Micros {
    OBJECTIVE_MARGIN_STEPS * fleet.settings.min_call_interval
}
