//! The last received revision of the endpoint list, kept across watches.

use std::cell::Cell;

use arrowstand_platform::{EndpointList, ListKind};

/// The last received revision and its mapping to the versions passed to the balancer.
pub(super) struct WatchCursor {
    /// Revision of the last list; 0 requests the full list.
    revision: Cell<u64>,
    /// Added to a revision to get the version for the balancer, so that versions never decrease.
    version_offset: Cell<u64>,
    /// No list has been received on the current watch yet.
    awaiting_first_list: Cell<bool>,
}

impl WatchCursor {
    /// Creates a cursor at the revision of the cached list; 0 if there is none.
    pub(super) fn new(revision: u64) -> Self {
        Self {
            revision: Cell::new(revision),
            version_offset: Cell::new(0),
            awaiting_first_list: Cell::new(true),
        }
    }

    /// Returns the revision after which a poll requests changes.
    pub(super) fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Records the start of a watch. Its first list may be from a discovery instance with lower
    /// revisions.
    pub(super) fn on_poll_started(&self) {
        self.awaiting_first_list.set(true);
    }

    /// Records a received list and returns its version for the balancer.
    pub(super) fn on_list_received(&self, list: &EndpointList) -> u64 {
        // A new or restarted discovery instance may have lower revisions. It was polled for changes
        // after the cursor and sent the full list instead, so the list is current although its
        // revision is lower.
        let is_first = self.awaiting_first_list.replace(false);
        if is_first && list.kind == ListKind::Full && list.revision < self.revision.get() {
            self.version_offset
                .set(self.version_offset.get() + self.revision.get());
        }
        self.revision.set(list.revision);
        self.version_offset.get() + list.revision
    }

    /// Makes the next poll request the full list. Otherwise the next list would move the cursor
    /// past the changes in the invalid object.
    pub(super) fn on_invalid_object(&self) {
        self.revision.set(0);
    }
}
