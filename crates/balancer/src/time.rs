//! The unit of time of the whole interface: whole microseconds on one monotonic clock of the host.

/// Microseconds: a point in time on the host's monotonic clock, or a span.
pub type Micros = u64;
