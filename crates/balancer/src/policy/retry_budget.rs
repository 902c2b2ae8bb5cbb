//! The retry budget: a token bucket filled by requests and spent by retries.
//!
//! Each request adds a twentieth of a token, up to a maximum of ten. A retry costs one token, or a
//! quarter if no earlier attempt can have executed. A fleet that fails every request therefore gets
//! at most 1.05 attempts per request, and one that rejects every request at most 1.2, as with the
//! retry budgets of Finagle and gRPC. Every request that arrives adds tokens, even if it is shed at
//! once; hedged requests cost as much as retries. Tokens are spent only in `Balancer::retry`, once
//! a server has been selected.

#[cfg(test)]
mod tests;

use crate::state::RequestState;

/// Tokens added per request: the fraction of requests that may be retried when all of them fail.
/// A higher value would multiply the load of a failing fleet.
const TOKENS_PER_REQUEST: f64 = 0.05;
/// Cost of a retry, in tokens.
const RETRY_COST: f64 = 1.0;
/// Cost of a retry if no earlier attempt can have executed. It is lower because the servers have
/// then done little work for the request.
const RETRY_COST_IF_NEVER_EXECUTED: f64 = 0.25;
/// Maximum number of tokens: bounds the burst of retries after a time without failures.
const MAX_TOKENS: f64 = 10.0;
/// Initial number of tokens, before any request has added some.
const INITIAL_TOKENS: f64 = MAX_TOKENS / 2.0;

/// Whether an earlier attempt of a request may have executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PriorExecution {
    /// At least one attempt may have executed.
    Possible,
    /// No attempt can have executed.
    Impossible,
}

impl PriorExecution {
    /// Returns whether an attempt of this request may have executed.
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

/// Token bucket for retries.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget with the initial number of tokens.
    pub(crate) fn new() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }

    /// Adds the tokens of a request that arrived.
    pub(crate) fn on_request_arrived(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// True if there are enough tokens for a retry.
    pub(crate) fn allows_retry(&self, prior: PriorExecution) -> bool {
        self.tokens >= prior.retry_cost()
    }

    /// Spends the tokens of a retry.
    pub(crate) fn on_retry(&mut self, prior: PriorExecution) {
        self.tokens -= prior.retry_cost();
    }
}
