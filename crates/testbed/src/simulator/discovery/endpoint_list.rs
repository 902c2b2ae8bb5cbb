//! The endpoint list of the discovery service: entries with the revisions at which they changed.
//!
//! `discovery` decides when a change is listed and which sidecars are notified.

use std::collections::BTreeMap;

use crate::event_log::ListedStatus;
use crate::index::ServerIndex;
use crate::scenario::Micros;

/// The state of a server that discovery lists and sends to sidecars.
#[derive(Clone, Copy)]
pub(in crate::simulator) struct ListedEndpoint {
    pub(in crate::simulator) server: ServerIndex,
    pub(in crate::simulator) status: ListedStatus,
    /// When the server's process started, in microseconds; 0 if it started before the run.
    pub(in crate::simulator) incarnation: Micros,
}

/// An entry of the list.
#[derive(Clone, Copy)]
struct ListEntry {
    endpoint: ListedEndpoint,
    /// The revision of the list in which the entry last changed.
    revision: u64,
}

/// All servers that were ever listed, including those that are gone.
pub(super) struct EndpointList {
    revision: u64,
    entries: BTreeMap<ServerIndex, ListEntry>,
}

impl EndpointList {
    /// Creates revision 1 of the list, with the initial servers and the start times of their
    /// processes.
    pub(super) fn new(servers: impl Iterator<Item = (ServerIndex, Micros)>) -> Self {
        let mut list = Self {
            revision: 1,
            entries: BTreeMap::new(),
        };
        for (server, incarnation) in servers {
            list.set_entry(ListedEndpoint {
                server,
                status: ListedStatus::Ready,
                incarnation,
            });
        }
        list
    }

    /// Returns the revision, which each change increments.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Adds or replaces a server's entry in a new revision of the list.
    pub(super) fn update(&mut self, endpoint: ListedEndpoint) {
        self.revision += 1;
        self.set_entry(endpoint);
    }

    fn set_entry(&mut self, endpoint: ListedEndpoint) {
        let revision = self.revision;
        let entry = ListEntry { endpoint, revision };
        self.entries.insert(endpoint.server, entry);
    }

    /// Returns the servers that are not gone, ordered by index.
    pub(super) fn current(&self) -> impl Iterator<Item = ListedEndpoint> {
        let endpoints = self.entries.values().map(|entry| entry.endpoint);
        endpoints.filter(|endpoint| endpoint.status != ListedStatus::Gone)
    }

    /// Returns the entries that changed after a revision, ordered by server index.
    pub(super) fn changes_since(&self, revision: u64) -> Vec<ListedEndpoint> {
        let changed = self.entries.values().filter(|e| e.revision > revision);
        changed.map(|entry| entry.endpoint).collect()
    }
}
