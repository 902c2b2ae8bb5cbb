//! The rule that a request which a server may have executed reaches no server again, unless the
//! idempotency of its class covers the repetition.
//!
//! Each attempt is compared with the request's first attempt that was not rejected.

use super::requests::ReceivedAttempt;
use crate::scenario::{Class, DeduplicationScope, Idempotency, Micros, from_ms};

/// Describes the violation by an attempt that a server receives at `now`, after the `first` one
/// that may have executed; `None` if its class allows it. `same_zone` says whether both reached
/// servers of the same zone.
pub(super) fn violation(
    class: &Class,
    first: &ReceivedAttempt,
    now: Micros,
    same_zone: bool,
) -> Option<String> {
    let server = first.server;
    match class.idempotency {
        Idempotency::Idempotent => None,
        Idempotency::NonIdempotent => {
            Some(format!("{server} had received it and may have executed it"))
        }
        Idempotency::IdempotencyKey
            if class.deduplication_scope == DeduplicationScope::Zone && !same_zone =>
        {
            Some(format!("its key is known at {server} in another zone"))
        }
        Idempotency::IdempotencyKey if now > first.at + from_ms(class.deduplication_window_ms) => {
            Some(format!("its key at {server} had expired by then"))
        }
        Idempotency::IdempotencyKey => None,
    }
}
