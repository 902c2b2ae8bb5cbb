//! The retry budget: requests earn tokens that retries use up.
//!
//! Each request earns a twentieth of a retry, and up to ten retries are saved up; a retry of a
//! request that cannot have executed costs a quarter. So a fleet that fails or rejects everything
//! gets each request at most 1.05 or 1.2 times over, as with the retry budgets of Finagle and gRPC.
//! Every request that arrives earns, also one that is shed at once; hedged requests are paid for
//! like retries. `Balancer::retry` alone spends, once a server has been found.

#[cfg(test)]
mod tests;

use crate::state::RequestState;

/// Tokens that each request earns: the share of the requests that may be retried when all fail.
/// More would multiply the load of a fleet that is failing. Inherited with the first version of the
/// module; its source was not recorded.
const TOKENS_PER_REQUEST: f64 = 0.05;
/// Tokens that a retry costs: the unit.
const RETRY_COST: f64 = 1.0;
/// Tokens that a retry costs where no attempt can have executed, and so the servers have spent
/// little on it. Inherited with the first version of the module; its source was not recorded.
const RETRY_COST_IF_NEVER_EXECUTED: f64 = 0.25;
/// Most tokens saved up: they bound the burst of retries after a calm time. Inherited with the
/// first version of the module; its source was not recorded.
const MAX_TOKENS: f64 = 10.0;
/// Tokens at the start, when nothing has been earned yet.
const INITIAL_TOKENS: f64 = MAX_TOKENS / 2.0;

/// Whether an earlier attempt of a request may have executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PriorExecution {
    /// One may have.
    Possible,
    /// None can have.
    Impossible,
}

impl PriorExecution {
    /// That of a request.
    pub(crate) fn of(request: &RequestState) -> Self {
        match request.first_possible_execution() {
            Some(_) => Self::Possible,
            None => Self::Impossible,
        }
    }

    fn retry_cost(self) -> f64 {
        match self {
            Self::Possible => RETRY_COST,
            Self::Impossible => RETRY_COST_IF_NEVER_EXECUTED,
        }
    }
}

/// Tokens for retries.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget for the first retries.
    pub(crate) fn new() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }

    /// A request arrived, and earns a share of a retry.
    pub(crate) fn on_request_arrived(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// True where there are tokens for a retry.
    pub(crate) fn allows_retry(&self, prior: PriorExecution) -> bool {
        self.tokens >= prior.retry_cost()
    }

    /// A request was retried.
    pub(crate) fn on_retry(&mut self, prior: PriorExecution) {
        self.tokens -= prior.retry_cost();
    }
}
