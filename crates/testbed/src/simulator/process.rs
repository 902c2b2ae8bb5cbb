//! Which life of a sidecar an event is about.

use crate::index::SidecarIndex;

/// One process of a sidecar: events for an earlier one are void.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct SidecarProcess {
    pub(super) sidecar: SidecarIndex,
    /// Counts the sidecar's processes.
    pub(super) incarnation: u32,
}
