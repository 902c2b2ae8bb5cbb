//! The unit of time of the whole interface.

/// Microseconds: a point in time or a span.
pub type Micros = u64;
