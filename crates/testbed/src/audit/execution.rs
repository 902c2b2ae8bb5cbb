//! The rule that nothing that may have executed is executed again, unless its class is idempotent
//! there.
//!
//! Owns no state: it judges an attempt by the first one that was not rejected.

use super::requests::ReceivedAttempt;
use crate::scenario::{Class, DeduplicationScope, Idempotency, Micros, from_ms};

/// What an attempt that is received at `now` violates, after a `first` one that may have executed;
/// nothing if its class allows it. `same_zone` says whether both reached servers of one zone.
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
