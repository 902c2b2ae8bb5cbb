//! Request classes: priority, latency objective, deadline and idempotency.

use crate::time::Micros;

/// Identifier of a request class: its index in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be retried on any server.
    Idempotent,
    /// The request carries an idempotency key. The servers of the class's deduplication scope drop
    /// duplicates within the deduplication window.
    IdempotencyKey,
    /// The request must not be executed twice.
    NonIdempotent,
}

/// Set of servers that share idempotency keys and therefore drop each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Settings shared by all requests of a class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Value of a response within the latency objective; finite and not negative.
    pub priority_weight: f64,
    /// Time within which a response has its full value, in microseconds; above zero.
    pub latency_objective: Micros,
    /// Time that a client waits in total, over all its own retries, in microseconds; not below the
    /// latency objective.
    pub deadline: Micros,
    /// Fraction of the priority weight that a response after the latency objective is worth, from 0
    /// to 1.
    pub late_value: f64,
    /// Multiple of the request's work hint that is added to the latency objective; finite and not
    /// negative.
    pub objective_per_work: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Servers that drop duplicates of a request with an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// Time for which duplicates are dropped, in microseconds from the first attempt that may have
    /// executed.
    pub deduplication_window: Micros,
    /// True if responses are streamed, so that a response may start long before it ends.
    pub streamed: bool,
}

impl RequestClass {
    /// Creates a class with priority weight 1 whose late responses have no value. Times are in
    /// microseconds.
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
