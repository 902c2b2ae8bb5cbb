//! What discovery lists, by version.
//!
//! Owns the versions and which of them an entry is new in; the form on the wire is the platform's.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::event_log::ListedStatus;
use crate::index::ServerIndex;
use crate::scenario::Micros;

/// Version of the list with which a run begins; 0 stands on the wire for a watch that knows none.
const FIRST_VERSION: u64 = 1;

/// One server as it is listed.
#[derive(Clone, Copy)]
pub(super) struct ListEntry {
    /// Place among the emulated servers.
    pub(super) position: usize,
    pub(super) status: ListedStatus,
    /// When it last started; 0 for before the run.
    pub(super) started_at: Micros,
    /// Version of the list in which this was new.
    version: u64,
}

/// All servers by their indexes.
pub(super) struct EndpointList {
    version: u64,
    entries: BTreeMap<ServerIndex, ListEntry>,
}

impl EndpointList {
    /// A list of servers that are ready, from when they started.
    pub(super) fn of_ready(started_at: impl Iterator<Item = Micros>) -> Self {
        let entry = |(position, started_at)| {
            let entry = ListEntry {
                position,
                status: ListedStatus::Ready,
                started_at,
                version: FIRST_VERSION,
            };
            (ServerIndex::from_position(position), entry)
        };
        Self {
            version: FIRST_VERSION,
            entries: started_at.enumerate().map(entry).collect(),
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Lists a new status; false where a later start of the server is listed already.
    pub(super) fn set(
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
        self.version += 1;
        let entry = ListEntry {
            position,
            status,
            started_at,
            version: self.version,
        };
        self.entries.insert(server, entry);
        true
    }

    /// What is new since a version, or everything that is not gone.
    pub(super) fn since(
        &self,
        version: Option<u64>,
    ) -> impl Iterator<Item = (ServerIndex, &ListEntry)> {
        let wanted = move |entry: &ListEntry| match version {
            Some(version) => entry.version > version,
            None => entry.status != ListedStatus::Gone,
        };
        self.entries
            .iter()
            .filter(move |(_, entry)| wanted(entry))
            .map(|(&server, entry)| (server, entry))
    }
}
