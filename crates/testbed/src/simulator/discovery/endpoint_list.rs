//! Discovery's own state: the endpoint list, its versions, and whether discovery answers.

use std::collections::BTreeMap;

use crate::event_log::ListedStatus;
use crate::index::ServerIndex;
use crate::random::{RandomStream, StreamId};
use crate::scenario::{self, Micros, Scenario, from_ms};
use crate::simulator::sidecars::{CachedEndpoints, ListedEndpoint};

/// A poll without a response is given up after this, in microseconds.
const POLL_TIMEOUT: Micros = 5_000_000;
/// A refused poll is back after this, in microseconds.
const REFUSAL_DELAY: Micros = 2_000;

/// Whether discovery answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(in crate::simulator) enum Availability {
    Up,
    /// It refuses polls and ends watches.
    Down,
    /// It says nothing and keeps connections open.
    Silent,
}

/// One server in the list.
#[derive(Clone, Copy)]
struct ListEntry {
    status: ListedStatus,
    /// Start of the server's process.
    incarnation: Micros,
    /// The list's version at which the entry changed last.
    version: u64,
}

/// A change that the list is to learn of.
#[derive(Clone, Copy)]
struct ListChange {
    status: ListedStatus,
    incarnation: Micros,
}

/// The service that lists servers.
pub(in crate::simulator) struct Discovery {
    version: u64,
    entries: BTreeMap<ServerIndex, ListEntry>,
    /// All changes of the run, by their numbers.
    changes: Vec<ListChange>,
    /// When the polls that wait will have been served.
    busy_until: Micros,
    availability: Availability,
    random: RandomStream,
}

impl Discovery {
    /// An empty list.
    pub(in crate::simulator) fn new(scenario: &Scenario) -> Self {
        Self {
            version: 1,
            entries: BTreeMap::new(),
            changes: Vec::new(),
            busy_until: 0,
            availability: Availability::Up,
            random: RandomStream::new(scenario.seed, StreamId::Discovery, 0),
        }
    }

    /// Lists a server that was there before the run.
    pub(in crate::simulator) fn add_initial(&mut self, server: ServerIndex, incarnation: Micros) {
        let entry = ListEntry {
            status: ListedStatus::Ready,
            incarnation,
            version: self.version,
        };
        self.entries.insert(server, entry);
    }

    /// The list as a sidecar caches it.
    pub(in crate::simulator) fn cached_list(&self) -> CachedEndpoints {
        let there = self.entries.iter();
        let there = there.filter(|(_, entry)| entry.status != ListedStatus::Gone);
        let endpoints = there.map(|(&server, entry)| (server, (entry.status, entry.incarnation)));
        CachedEndpoints::new(self.version, endpoints.collect())
    }

    /// What has changed since a version, in the order of the servers' numbers.
    pub(super) fn changes_since(&self, version: u64) -> Vec<ListedEndpoint> {
        let changed = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.version > version);
        changed
            .map(|(&server, entry)| ListedEndpoint {
                server,
                status: entry.status,
                incarnation: entry.incarnation,
            })
            .collect()
    }

    /// Something has happened to a server; gives the number of the change, which is noticed later.
    pub(super) fn on_announced(&mut self, status: ListedStatus, incarnation: Micros) -> usize {
        self.changes.push(ListChange {
            status,
            incarnation,
        });
        self.changes.len() - 1
    }

    /// A change is noticed, of a server that started last at `started_at`; false where it says
    /// nothing new: a death that is noticed after the return is none, and what came back is not
    /// listed as it was before.
    pub(super) fn on_noticed(
        &mut self,
        server: ServerIndex,
        change: usize,
        started_at: Micros,
    ) -> bool {
        let change = self.changes.get(change);
        let Some(&change) = change.filter(|change| started_at <= change.incarnation) else {
            return false;
        };
        self.version += 1;
        let entry = ListEntry {
            status: change.status,
            incarnation: change.incarnation,
            version: self.version,
        };
        self.entries.insert(server, entry);
        true
    }

    /// The list's version.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// How long a change takes to reach a watch, in microseconds, drawn up to `spread_ms`.
    pub(super) fn draw_notification_delay(&mut self, spread_ms: f64) -> Micros {
        from_ms(spread_ms * self.random.unit())
    }

    pub(super) fn is_up(&self) -> bool {
        self.availability == Availability::Up
    }

    /// When the answer to a poll that comes now is at its sidecar, or its loss is noticed; true
    /// where it is lost.
    pub(super) fn on_poll(
        &mut self,
        now: Micros,
        settings: &scenario::Discovery,
    ) -> (Micros, bool) {
        match self.availability {
            Availability::Silent => (now + POLL_TIMEOUT, true),
            Availability::Down => (now + REFUSAL_DELAY, true),
            Availability::Up => {
                let start = self.busy_until.max(now);
                let timeout = from_ms(settings.timeout_ms);
                if start > now + timeout {
                    return (now + timeout, true);
                }
                self.busy_until = start + (1e6 / settings.capacity) as Micros;
                (self.busy_until, false)
            }
        }
    }

    pub(super) fn on_availability_changed(&mut self, availability: Availability, now: Micros) {
        self.availability = availability;
        self.busy_until = now;
    }
}
