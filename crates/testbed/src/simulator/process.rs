//! Identifies each process of a sidecar, which has a new one after each restart.

use crate::index::SidecarIndex;

/// One process of a sidecar. Events that refer to an earlier process are ignored.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct SidecarProcess {
    pub(super) sidecar: SidecarIndex,
    /// Number of times that the sidecar was killed before this process started.
    pub(super) incarnation: u32,
}
