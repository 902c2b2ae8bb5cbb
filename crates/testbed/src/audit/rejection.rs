//! The rule that a request which a server may have executed is not rejected, unless a retry by the
//! client has no further side effect.
//!
//! A rejection tells the client that it may retry, so the rule compares it with the attempts of its
//! request.

use super::requests::AcceptedRequest;
use crate::event_log::RequestOutcome;
use crate::scenario::{Class, DeduplicationScope, Idempotency};

/// Describes the violation by an attempt that a server receives after the request was rejected.
pub(super) fn violation_on_attempt(class: &Class, request: &AcceptedRequest) -> Option<String> {
    let idempotent = class.idempotency == Idempotency::Idempotent;
    (request.was_rejected() && !idempotent)
        .then(|| "a server received it after its rejection".to_owned())
}

/// Describes the violation by a response that rejects a request. Requests of an unknown class are
/// not checked.
pub(super) fn violation_on_response(
    class: Option<&Class>,
    request: &AcceptedRequest,
    outcome: RequestOutcome,
) -> Option<&'static str> {
    let may_have_executed = request.first_unrejected_attempt().is_some();
    let retry_unsafe = class.is_some_and(|class| match class.idempotency {
        Idempotency::Idempotent => false,
        Idempotency::NonIdempotent => true,
        Idempotency::IdempotencyKey => class.deduplication_scope != DeduplicationScope::All,
    });
    (outcome == RequestOutcome::Rejected && may_have_executed && retry_unsafe)
        .then_some("it may have been executed")
}
