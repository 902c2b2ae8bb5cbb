//! Request classes: what a deployment promises its clients, and whether a request may run again.

use crate::time::Micros;

/// A request class: the index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u16);

/// May a request run more than once?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat anywhere.
    Idempotent,
    /// Carries a key by which the servers of one scope drop repeats for a while.
    IdempotencyKey,
    /// Must never run twice.
    NonIdempotent,
}

/// The servers among which repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What the balancer knows of a request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Worth of one request in time.
    pub priority_weight: f64,
    /// Answers within this time have full worth.
    pub latency_objective: Micros,
    /// Time a client waits across all its tries.
    pub deadline: Micros,
    /// Share of the worth that a late answer keeps.
    pub late_value: f64,
    /// The objective grows by this multiple of the request's own work.
    pub objective_per_work: f64,
    /// Whether a request may run again.
    pub idempotency: Idempotency,
    /// Where repeats of a keyed request are dropped.
    pub deduplication_scope: DeduplicationScope,
    /// For how long they are dropped, from the first attempt that may have run.
    pub deduplication_window: Micros,
    /// The answer is streamed: it may start before it ends.
    pub streamed: bool,
}

impl RequestClass {
    /// A class of worth 1 whose late answers are worth nothing.
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
