//! The rule that nothing is rejected that may have executed, where a retry is not harmless.
//!
//! Owns no state: it judges an outcome by the attempts of its request.

use super::requests::AcceptedRequest;
use crate::event_log::RequestOutcome;
use crate::scenario::{Class, DeduplicationScope, Idempotency};

/// What an attempt violates that a server receives after the request was rejected.
pub(super) fn violation_on_attempt(class: &Class, request: &AcceptedRequest) -> Option<String> {
    let harmless = class.idempotency == Idempotency::Idempotent;
    (request.was_rejected() && !harmless)
        .then(|| "a server received it after its rejection".to_owned())
}

/// What a response violates that rejects a request. A class that is unknown is not judged.
pub(super) fn violation_on_response(
    class: Option<&Class>,
    request: &AcceptedRequest,
    outcome: RequestOutcome,
) -> Option<&'static str> {
    let may_have_executed = request.first_unrejected_attempt().is_some();
    let retry_harmful = class.is_some_and(|class| match class.idempotency {
        Idempotency::Idempotent => false,
        Idempotency::NonIdempotent => true,
        Idempotency::IdempotencyKey => class.deduplication_scope != DeduplicationScope::All,
    });
    (outcome == RequestOutcome::Rejected && may_have_executed && retry_harmful)
        .then_some("it may have been executed")
}
