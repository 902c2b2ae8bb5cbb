//! The simulator's discovery: the endpoint list, which learns late of what happens to servers, and the polls and
//! watches by which sidecars follow it.
//!
//! Owns the list ([`Discovery`]); what a sidecar makes of a list is `endpoints`.

mod endpoints;

use std::collections::BTreeMap;

use super::Simulator;
use super::event::{PollResult, SidecarProcess, SimulatorEvent};
use crate::event_log::{ListedStatus, LogEvent};
use crate::random::{RandomStream, StreamId};
use crate::scenario::{self, Micros, Scenario, from_ms};

pub(super) use endpoints::{KnownEndpoints, ListedEndpoint};

/// A poll that is not answered at all is given up after this, in microseconds.
const POLL_TIMEOUT: Micros = 5_000_000;
/// A watch that says nothing is given up after this, in microseconds.
const WATCH_TIMEOUT: Micros = 3_000_000;
/// A refused poll is back after this, in microseconds.
const REFUSAL_DELAY: Micros = 2_000;
/// The end of a watch that discovery closes is noticed after this, in microseconds.
const WATCH_CLOSE_DELAY: Micros = 1_000;

/// Whether discovery answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Availability {
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
pub(super) struct Discovery {
    version: u64,
    entries: BTreeMap<u32, ListEntry>,
    /// All changes of the run, by their numbers.
    changes: Vec<ListChange>,
    /// When the polls that wait will have been served.
    busy_until: Micros,
    availability: Availability,
    random: RandomStream,
}

impl Discovery {
    /// An empty list.
    pub(super) fn new(scenario: &Scenario) -> Self {
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
    pub(super) fn add_initial(&mut self, server: u32, incarnation: Micros) {
        let entry = ListEntry {
            status: ListedStatus::Ready,
            incarnation,
            version: self.version,
        };
        self.entries.insert(server, entry);
    }

    /// The list as a sidecar caches it.
    pub(super) fn cached_list(&self) -> KnownEndpoints {
        let there = self.entries.iter();
        let there = there.filter(|(_, entry)| entry.status != ListedStatus::Gone);
        let endpoints = there.map(|(&server, entry)| (server, (entry.status, entry.incarnation)));
        KnownEndpoints::new(self.version, endpoints.collect())
    }

    /// What has changed since a version, in the order of the servers' numbers.
    fn changes_since(&self, version: u64) -> Vec<ListedEndpoint> {
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

    fn on_change(&mut self, server: u32, change: ListChange) {
        self.version += 1;
        let entry = ListEntry {
            status: change.status,
            incarnation: change.incarnation,
            version: self.version,
        };
        self.entries.insert(server, entry);
    }

    fn is_up(&self) -> bool {
        self.availability == Availability::Up
    }

    /// When the answer to a poll that comes now is at its sidecar, or its loss is noticed; true where it is lost.
    fn on_poll(&mut self, now: Micros, settings: &scenario::Discovery) -> (Micros, bool) {
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

    fn on_availability_changed(&mut self, availability: Availability, now: Micros) {
        self.availability = availability;
        self.busy_until = now;
    }
}

impl Simulator<'_> {
    /// Something happened to a server that discovery notices after a while, in milliseconds.
    pub(super) fn announce(&mut self, server: u32, status: ListedStatus, after_ms: f64) {
        let incarnation = self.servers[server as usize].launched;
        let change = self.discovery.changes.len();
        self.discovery.changes.push(ListChange {
            status,
            incarnation,
        });
        let event = SimulatorEvent::ListChange { server, change };
        self.timeline.after(from_ms(after_ms), event);
    }

    pub(super) fn on_list_change(&mut self, server: u32, change: usize) {
        let Some(&change) = self.discovery.changes.get(change) else {
            return;
        };
        // A death that is noticed after the return is none; and what came back is not listed as it was before.
        if self.servers[server as usize].launched > change.incarnation {
            return;
        }
        self.discovery.on_change(server, change);
        if self.discovery.is_up() {
            self.notify_watches();
        }
    }

    fn notify_watches(&mut self) {
        let spread_ms = self.scenario.discovery.spread_ms;
        for number in 0..self.sidecars.len() as u32 {
            if self.sidecars[number as usize].watches {
                let delay = from_ms(spread_ms * self.discovery.random.unit());
                let process = self.process(number);
                let event = SimulatorEvent::WatchNotification(process);
                self.timeline.after(delay, event);
            }
        }
    }

    /// A sidecar polls the list, and watches it from then on.
    pub(super) fn poll_endpoints(&mut self, number: u32) {
        self.record(LogEvent::DiscoveryPolled { sidecar: number });
        let process = self.process(number);
        let poll = self.sidecars[number as usize].on_poll_started();
        let now = self.timeline.now();
        let (at, lost) = self.discovery.on_poll(now, &self.scenario.discovery);
        let result = PollResult {
            process,
            poll,
            lost,
        };
        self.timeline.at(at, SimulatorEvent::PollResult(result));
    }

    pub(super) fn on_poll_result(&mut self, result: &PollResult) {
        let number = result.process.sidecar;
        let sidecar = &self.sidecars[number as usize];
        if !self.is_current(result.process) || sidecar.polls != result.poll || !self.is_up(number) {
            return;
        }
        if result.lost || !self.discovery.is_up() {
            self.lose_endpoints(number);
            return;
        }
        self.sidecars[number as usize].watches = true;
        self.send_changes(number);
    }

    /// A change has reached a watch.
    pub(super) fn on_watch_notification(&mut self, process: SidecarProcess) {
        let sidecar = &self.sidecars[process.sidecar as usize];
        let is_news = sidecar.endpoints.version() < self.discovery.version;
        if self.is_current(process) && sidecar.watches && self.discovery.is_up() && is_news {
            self.send_changes(process.sidecar);
        }
    }

    /// Gives a sidecar what has changed since its list, which may be nothing.
    fn send_changes(&mut self, number: u32) {
        let known = self.sidecars[number as usize].endpoints.version();
        let version = self.discovery.version;
        let changes = self.discovery.changes_since(known);
        self.update_endpoints(number, version, &changes);
    }

    /// Discovery goes down or silent, or comes back.
    pub(super) fn on_discovery_fault(&mut self, availability: Availability) {
        let now = self.timeline.now();
        self.discovery.on_availability_changed(availability, now);
        let noticed_after = match availability {
            Availability::Up => return,
            Availability::Down => WATCH_CLOSE_DELAY,
            Availability::Silent => WATCH_TIMEOUT,
        };
        for number in 0..self.sidecars.len() as u32 {
            let process = self.process(number);
            let sidecar = &mut self.sidecars[number as usize];
            if std::mem::take(&mut sidecar.watches) {
                let result = PollResult {
                    process,
                    poll: sidecar.polls,
                    lost: true,
                };
                let event = SimulatorEvent::PollResult(result);
                self.timeline.after(noticed_after, event);
            }
        }
    }
}
