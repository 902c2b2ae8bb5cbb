//! The retry budget: requests earn tokens that retries use up.

#[cfg(test)]
mod tests;

/// Tokens earned by each request, what a retry costs, less where no attempt can have executed, and the most
/// saved up: a fleet that rejects must not get each request several times.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.05;
const RETRY_COST: f64 = 1.0;
const NEVER_EXECUTED_RETRY_COST: f64 = 0.25;
const MAX_RETRY_TOKENS: f64 = 10.0;
const INITIAL_RETRY_TOKENS: f64 = MAX_RETRY_TOKENS / 2.0;

/// Tokens for retries.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget for the first retries.
    pub(crate) fn new() -> Self {
        Self {
            tokens: INITIAL_RETRY_TOKENS,
        }
    }

    /// A request arrived, and earns a share of a retry.
    pub(crate) fn on_request_arrived(&mut self) {
        self.tokens = (self.tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
    }

    /// True where there are tokens for a retry of a request that may have executed, or cannot have.
    pub(crate) fn covers_retry(&self, may_have_executed: bool) -> bool {
        self.tokens >= Self::cost(may_have_executed)
    }

    /// A request was retried.
    pub(crate) fn on_retry(&mut self, may_have_executed: bool) {
        self.tokens -= Self::cost(may_have_executed);
    }

    fn cost(may_have_executed: bool) -> f64 {
        if may_have_executed {
            RETRY_COST
        } else {
            NEVER_EXECUTED_RETRY_COST
        }
    }
}
