//! Chooses the final response to a request that gets no further attempt: a rejection or a failure.
//!
//! `LoadShedder`, `ServerSelector` or `RetryPolicy` decides earlier that no further attempt is
//! made.
//!
//! A rejection tells the client that it may retry. It is therefore used only if a retry is safe:
//! the request class is idempotent, or its idempotency keys are deduplicated across all servers, or
//! no attempt can have executed. In all other cases the request fails. The Retry-After of a
//! rejection grows with the utilization of the fleet, and its jitter spreads the retries:
//!
//! ```text
//! base        = mean service time + fullness * max_retry_after
//! Retry-After = min(base * random(0.75..1.25), max_retry_after)
//! ```

#[cfg(test)]
mod tests;

use crate::fleet::Fleet;
use crate::state::RequestState;
use crate::{DeduplicationScope, Idempotency, Micros, Settings};

/// Smallest jitter factor of Retry-After. Together with [`JITTER_FACTOR_RANGE`] the mean factor is
/// 1.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Width of the range of jitter factors. With a narrower range, clients that were rejected together
/// retry together.
const JITTER_FACTOR_RANGE: f64 = 0.5;

/// Final response to a request that gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalResponse {
    /// Reject the request; the client may safely retry it.
    Reject {
        /// Retry-After in microseconds; `None` if the host does not forward it to clients.
        retry_after: Option<Micros>,
    },
    /// Fail the request; it may have executed.
    Fail,
}

impl FinalResponse {
    /// Chooses the response to `request`. A rejection draws one random number for the jitter.
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

/// Computes Retry-After with jitter: the fuller the fleet, the later clients should retry. Draws
/// the jitter even if the host does not forward the value.
fn retry_after(fleet: &Fleet, rng: &mut fastrand::Rng) -> Option<Micros> {
    let max_retry_after = fleet.settings.retries.max_retry_after;
    let fullness = fleet.estimators.utilization.fullness();
    let base = fleet.estimators.latency.mean_service_time() + fullness * max_retry_after as f64;
    let jitter = MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * rng.f64();
    let retry_after = ((base * jitter) as Micros).min(max_retry_after);
    fleet.settings.host.retry_after.then_some(retry_after)
}
