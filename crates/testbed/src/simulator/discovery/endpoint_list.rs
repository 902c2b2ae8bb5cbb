//! The endpoint list of the discovery service: entries with the versions at which they changed.
//!
//! When a change is noticed, and which sidecars are notified, is decided in `discovery`.

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
    /// The version of the list in which the entry last changed.
    version: u64,
}

/// All servers that were ever listed, including those that are gone.
pub(super) struct EndpointList {
    version: u64,
    entries: BTreeMap<ServerIndex, ListEntry>,
}

impl EndpointList {
    /// Creates version 1 of the list, with the initial servers and the start times of their
    /// processes.
    pub(super) fn new(servers: impl Iterator<Item = (ServerIndex, Micros)>) -> Self {
        let mut list = Self {
            version: 1,
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

    /// Returns the version, which each change increments.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Adds or replaces a server's entry in a new version of the list.
    pub(super) fn update(&mut self, endpoint: ListedEndpoint) {
        self.version += 1;
        self.set_entry(endpoint);
    }

    fn set_entry(&mut self, endpoint: ListedEndpoint) {
        let version = self.version;
        let entry = ListEntry { endpoint, version };
        self.entries.insert(endpoint.server, entry);
    }

    /// Returns the servers that are not gone, ordered by index.
    pub(super) fn current(&self) -> impl Iterator<Item = ListedEndpoint> {
        let endpoints = self.entries.values().map(|entry| entry.endpoint);
        endpoints.filter(|endpoint| endpoint.status != ListedStatus::Gone)
    }

    /// Returns the entries that changed after a version, ordered by server index.
    pub(super) fn changes_since(&self, version: u64) -> Vec<ListedEndpoint> {
        let changed = self.entries.values().filter(|e| e.version > version);
        changed.map(|entry| entry.endpoint).collect()
    }
}
