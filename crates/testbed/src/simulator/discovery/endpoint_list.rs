//! The endpoint list as discovery holds it: entries with the versions at which they changed.
//!
//! Owns no time: when a change is noticed, and who learns of it, is `discovery`'s.

use std::collections::BTreeMap;

use crate::event_log::ListedStatus;
use crate::index::ServerIndex;
use crate::scenario::Micros;

/// An entry of the list, as it is noticed by discovery and given to sidecars.
#[derive(Clone, Copy)]
pub(in crate::simulator) struct ListedEndpoint {
    pub(in crate::simulator) server: ServerIndex,
    pub(in crate::simulator) status: ListedStatus,
    /// Start of the server's process; 0 where it was there before the run.
    pub(in crate::simulator) incarnation: Micros,
}

/// One server in the list.
#[derive(Clone, Copy)]
struct ListEntry {
    endpoint: ListedEndpoint,
    /// The list's version at which the entry changed last.
    version: u64,
}

/// All servers that were ever listed, with those that are gone.
pub(super) struct EndpointList {
    version: u64,
    entries: BTreeMap<ServerIndex, ListEntry>,
}

impl EndpointList {
    /// The first version, of servers that were there before the run.
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

    /// The list's version, which each change raises by one.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Lists a server anew, as a further version.
    pub(super) fn update(&mut self, endpoint: ListedEndpoint) {
        self.version += 1;
        self.set_entry(endpoint);
    }

    fn set_entry(&mut self, endpoint: ListedEndpoint) {
        let version = self.version;
        let entry = ListEntry { endpoint, version };
        self.entries.insert(endpoint.server, entry);
    }

    /// The servers that are not gone, in the order of their numbers.
    pub(super) fn current(&self) -> impl Iterator<Item = ListedEndpoint> {
        let endpoints = self.entries.values().map(|entry| entry.endpoint);
        endpoints.filter(|endpoint| endpoint.status != ListedStatus::Gone)
    }

    /// What has changed since a version, in the order of the servers' numbers.
    pub(super) fn changes_since(&self, version: u64) -> Vec<ListedEndpoint> {
        let changed = self.entries.values().filter(|e| e.version > version);
        changed.map(|entry| entry.endpoint).collect()
    }
}
