//! Time unit of the public interface.

/// Whole microseconds: an instant on the host's monotonic clock, or a duration.
pub type Micros = u64;
