//! The position in discovery's numbering of its changes, kept from one watch to the next.

use std::cell::Cell;

use arrowstand_platform::{EndpointList, ListKind};

/// The last revision that came, and how it maps to the versions that the balancer gets.
pub(super) struct WatchCursor {
    /// Discovery's number of the last list; 0 asks for the whole list.
    revision: Cell<u64>,
    /// The balancer's versions are this much higher than revisions, so that they only rise.
    version_offset: Cell<u64>,
    /// No list has come on this watch yet.
    awaiting_first_list: Cell<bool>,
}

impl WatchCursor {
    /// A cursor behind the list of that revision; 0 where there is none.
    pub(super) fn new(revision: u64) -> Self {
        Self {
            revision: Cell::new(revision),
            version_offset: Cell::new(0),
            awaiting_first_list: Cell::new(true),
        }
    }

    /// The revision after which a poll asks for changes.
    pub(super) fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// A new watch begins: its first list may be of a discovery that counts from lower down.
    pub(super) fn on_poll_started(&self) {
        self.awaiting_first_list.set(true);
    }

    /// A list came; returns its version for the balancer.
    pub(super) fn on_list_received(&self, list: &EndpointList) -> u64 {
        // A discovery that is new, or was restarted, may count from lower down. It was polled for
        // changes after the cursor and sent the whole list instead, so the list is not an old one
        // although its revision is lower.
        let is_first = self.awaiting_first_list.replace(false);
        if is_first && list.kind == ListKind::Full && list.revision < self.revision.get() {
            self.version_offset
                .set(self.version_offset.get() + self.revision.get());
        }
        self.revision.set(list.revision);
        self.version_offset.get() + list.revision
    }

    /// An object was unreadable. The next list would move the cursor past the changes in it, so the
    /// next poll asks for the whole list.
    pub(super) fn on_invalid_object(&self) {
        self.revision.set(0);
    }
}
