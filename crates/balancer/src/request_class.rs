//! Request classes: what a deployment promises its clients, and whether a request may run again.

use crate::time::Micros;

/// A request class: the index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// Whether a request may execute more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be retried on any server.
    Idempotent,
    /// It carries an idempotency key by which the servers of one scope drop duplicates for a while.
    IdempotencyKey,
    /// It must never execute twice.
    NonIdempotent,
}

/// The servers that share their idempotency keys, and so drop each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A request class: what its requests are worth, how long they may take and whether they may be
/// retried.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Value of one response within the latency objective; finite and not negative.
    pub priority_weight: f64,
    /// A response within this time has its full value; above zero.
    pub latency_objective: Micros,
    /// Time that a client waits, over all its tries; not below the latency objective.
    pub deadline: Micros,
    /// Share of its value that a response after the latency objective keeps, from 0 to 1.
    pub late_value: f64,
    /// The latency objective grows by this multiple of the request's work hint.
    pub objective_per_work: f64,
    /// Whether a request may execute more than once.
    pub idempotency: Idempotency,
    /// The servers that drop duplicates of a request with an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// For how long duplicates are dropped, from the first attempt that may have executed.
    pub deduplication_window: Micros,
    /// The response is streamed: it may start long before it ends.
    pub streamed: bool,
}

impl RequestClass {
    /// A class of priority weight 1 whose late responses have no value. Times are in microseconds.
    pub fn new(idempotency: Idempotency, latency_objective: Micros, deadline: Micros) -> Self {
        Self {
            priority_weight: 1.0,
            latency_objective,
            deadline,
            late_value: 0.0,
            objective_per_work: 0.0,
            idempotency,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: 0,
            streamed: false,
        }
    }
}
