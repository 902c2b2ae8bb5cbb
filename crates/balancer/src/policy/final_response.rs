//! The final response to a request that is given up: a rejection, or a failure.
//!
//! Why it is given up was decided before: by `LoadShedder`, `ServerSelector` or `RetryPolicy`.
//!
//! A rejection tells the client that it may retry, and so is given only where a retry is known to
//! be harmless: the class is idempotent, or its idempotency keys are known to all servers, or no
//! attempt can have executed. Every other request fails. Nothing else decides that. The Retry-After
//! of a rejection grows as the fleet fills up, with a jitter that spreads the clients:
//!
//! ```text
//! Retry-After = min((mean service time + fullness * max_retry_after) * random(0.75..1.25), max_retry_after)
//! ```

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::state::RequestState;
use crate::{DeduplicationScope, Idempotency, Micros, Settings};

/// Least factor of the jitter of Retry-After. With the span it keeps a mean of 1. Inherited with
/// the first version of the module; its source was not recorded.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Span of the jitter above the least factor: with less, clients that were rejected together return
/// together. Inherited with the first version of the module; its source was not recorded.
const JITTER_FACTOR_RANGE: f64 = 0.5;

/// What a client gets whose request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalResponse {
    /// A rejection: a retry is harmless.
    Reject {
        /// Retry-After in microseconds, where the host passes it on.
        retry_after: Option<Micros>,
    },
    /// A failure: the request may have executed.
    Fail,
}

impl FinalResponse {
    /// The response to a request. Draws the jitter of a rejection.
    pub(crate) fn decide(fleet: &Fleet, request: &RequestState, rng: &mut fastrand::Rng) -> Self {
        if is_retry_safe(&fleet.settings, request) {
            let retry_after = retry_after(fleet, rng);
            Self::Reject { retry_after }
        } else {
            Self::Fail
        }
    }
}

fn is_retry_safe(settings: &Settings, request: &RequestState) -> bool {
    let class = settings.class(request.class());
    let is_deduplicated_everywhere = class.idempotency == Idempotency::IdempotencyKey
        && class.deduplication_scope == DeduplicationScope::All;
    class.idempotency == Idempotency::Idempotent
        || is_deduplicated_everywhere
        || request.first_possible_execution().is_none()
}

/// A fleet that is full throughout has no use for clients that are back at once.
fn retry_after(fleet: &Fleet, rng: &mut fastrand::Rng) -> Option<Micros> {
    let max_retry_after = fleet.settings.retries.max_retry_after;
    let fullness = fleet.estimators.utilization.fullness();
    let base = fleet.estimators.latency.mean_service_time() + fullness * max_retry_after as f64;
    let jitter = MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * rng.f64();
    let retry_after = ((base * jitter) as Micros).min(max_retry_after);
    fleet.settings.host.retry_after.then_some(retry_after)
}
