//! The revisions of the emulated endpoint list.
//!
//! Each entry carries the revision that last changed it, so that the changes since any revision can
//! be selected. The platform's `EndpointList` formats lists and deltas for the wire.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::event_log::ListedStatus;
use crate::index::ServerIndex;
use crate::scenario::Micros;

/// Revision of the list at the start of a run; a watch that has no list yet requests revision 0.
const INITIAL_REVISION: u64 = 1;

/// The listed state of a server.
#[derive(Clone, Copy)]
pub(super) struct ListEntry {
    /// Position of the server in the list of emulated servers.
    pub(super) position: usize,
    pub(super) status: ListedStatus,
    /// When it last started; 0 if it started before the run.
    pub(super) started_at: Micros,
    /// Revision of the list that set this entry.
    revision: u64,
}

/// The entries of all servers, including those that are gone.
pub(super) struct EndpointList {
    revision: u64,
    entries: BTreeMap<ServerIndex, ListEntry>,
}

impl EndpointList {
    /// Creates a list of ready servers with these start times, in the order of their positions.
    pub(super) fn new_ready(started_at: impl Iterator<Item = Micros>) -> Self {
        let entry = |(position, started_at)| {
            let entry = ListEntry {
                position,
                status: ListedStatus::Ready,
                started_at,
                revision: INITIAL_REVISION,
            };
            (ServerIndex::from_position(position), entry)
        };
        Self {
            revision: INITIAL_REVISION,
            entries: started_at.enumerate().map(entry).collect(),
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the status of a server's incarnation, raises the revision and returns true. If a later
    /// incarnation of the server is listed, changes nothing and returns false.
    pub(super) fn set_status(
        &mut self,
        server: ServerIndex,
        position: usize,
        status: ListedStatus,
        started_at: Micros,
    ) -> bool {
        let listed = self.entries.get(&server);
        if listed.is_some_and(|entry| entry.started_at > started_at) {
            return false;
        }
        self.revision += 1;
        let entry = ListEntry {
            position,
            status,
            started_at,
            revision: self.revision,
        };
        self.entries.insert(server, entry);
        true
    }

    /// Returns the entries that changed after a revision. Without a revision, returns the entries
    /// of all servers that are not gone.
    pub(super) fn changed_since(
        &self,
        revision: Option<u64>,
    ) -> impl Iterator<Item = (ServerIndex, &ListEntry)> {
        let included = move |entry: &ListEntry| match revision {
            Some(revision) => entry.revision > revision,
            None => entry.status != ListedStatus::Gone,
        };
        self.entries
            .iter()
            .filter(move |(_, entry)| included(entry))
            .map(|(&server, entry)| (server, entry))
    }
}
