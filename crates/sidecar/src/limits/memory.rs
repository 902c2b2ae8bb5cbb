//! Limits on memory, by purpose.

use arrowstand_control::memory_budget::MemoryShares;

use super::client::{MAX_BODY_BYTES, MAX_REQUEST_HEAD_BYTES};
use super::inputs::LimitInputs;

const BYTES_PER_MIB: usize = 1024 * 1024;
/// Buffers of an attempt, which hold a slice of the request and a part of the response.
const ATTEMPT_BUFFER_BYTES: usize = 24 * 1024;
/// Memory that every request may use while it is in flight, in addition to its body: that of the
/// largest response and of an attempt.
const IN_FLIGHT_BYTES: usize = MAX_BODY_BYTES + ATTEMPT_BUFFER_BYTES;
/// A body up to this length is part of its connection's memory while it arrives.
const SMALL_BODY_BYTES: usize = 4 * 1024;
/// Requests of the largest size that find room, however small the memory limit is.
const MIN_LARGEST_REQUESTS: usize = 8;

/// Limits on memory, by purpose.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryLimits {
    /// How the process's memory is divided.
    pub(crate) shares: MemoryShares,
    /// Memory that every request may use while it is in flight, in addition to its body.
    pub(crate) in_flight_bytes: usize,
    /// A body up to this length needs no reservation while it arrives.
    pub(crate) small_body_bytes: usize,
    /// Memory of a head that is longer than that.
    pub(crate) large_head_bytes: usize,
}

impl MemoryLimits {
    pub(super) fn derive(inputs: &LimitInputs) -> Self {
        let limit_bytes = inputs.memory_mib * BYTES_PER_MIB;
        let largest_request = MAX_BODY_BYTES + IN_FLIGHT_BYTES;
        Self {
            shares: MemoryShares::of(limit_bytes)
                .with_room_for(MIN_LARGEST_REQUESTS * largest_request),
            in_flight_bytes: IN_FLIGHT_BYTES,
            small_body_bytes: SMALL_BODY_BYTES,
            // The buffer doubles as it grows.
            large_head_bytes: 2 * MAX_REQUEST_HEAD_BYTES,
        }
    }
}
