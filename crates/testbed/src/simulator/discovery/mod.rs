//! The simulator's discovery: it learns late of what happens to servers, and sidecars poll and
//! watch its list.
//!
//! `endpoint_list` owns the list; what a sidecar makes of it is `sidecars::endpoints`.

mod endpoint_list;

use super::Simulator;
use super::event::{PollResult, SimulatorEvent};
use super::process::SidecarProcess;
use crate::event_log::{ListedStatus, LogEvent};
use crate::index::{ServerIndex, SidecarIndex};
use crate::scenario::{Micros, from_ms};

pub(super) use endpoint_list::{Availability, Discovery};

/// A watch that says nothing is given up after this, in microseconds.
const WATCH_TIMEOUT: Micros = 3_000_000;
/// The end of a watch that discovery closes is noticed after this, in microseconds.
const WATCH_CLOSE_DELAY: Micros = 1_000;

impl Simulator<'_> {
    /// Something happened to a server that discovery notices after a while, in milliseconds.
    pub(super) fn announce(&mut self, server: ServerIndex, status: ListedStatus, after_ms: f64) {
        let incarnation = self.servers[server.index()].started_at;
        let change = self.discovery.on_announced(status, incarnation);
        let event = SimulatorEvent::ListChange { server, change };
        self.context.after(from_ms(after_ms), event);
    }

    pub(super) fn on_list_change(&mut self, server: ServerIndex, change: usize) {
        let started_at = self.servers[server.index()].started_at;
        let is_news = self.discovery.on_noticed(server, change, started_at);
        if is_news && self.discovery.is_up() {
            self.notify_watches();
        }
    }

    fn notify_watches(&mut self) {
        let spread_ms = self.context.scenario().discovery.spread_ms;
        for sidecar_index in SidecarIndex::all(self.sidecars.len()) {
            if self.sidecars[sidecar_index.index()].watches {
                let delay = self.discovery.draw_notification_delay(spread_ms);
                let process = self.process(sidecar_index);
                let event = SimulatorEvent::WatchNotification(process);
                self.context.after(delay, event);
            }
        }
    }

    /// A sidecar polls the list, and watches it from then on.
    pub(super) fn poll_endpoints(&mut self, sidecar_index: SidecarIndex) {
        self.context.record(LogEvent::DiscoveryPolled {
            sidecar: sidecar_index,
        });
        let process = self.process(sidecar_index);
        let poll = self.sidecars[sidecar_index.index()].on_poll_started();
        let now = self.context.now();
        let (at, lost) = self
            .discovery
            .on_poll(now, &self.context.scenario().discovery);
        let result = PollResult {
            process,
            poll,
            lost,
        };
        self.context.at(at, SimulatorEvent::PollResult(result));
    }

    pub(super) fn on_poll_result(&mut self, result: &PollResult) {
        let sidecar_index = result.process.sidecar;
        let sidecar = &self.sidecars[sidecar_index.index()];
        if !self.is_current(result.process)
            || sidecar.polls != result.poll
            || !self.is_up(sidecar_index)
        {
            return;
        }
        if result.lost || !self.discovery.is_up() {
            self.on_endpoints_lost(sidecar_index);
            return;
        }
        self.sidecars[sidecar_index.index()].watches = true;
        self.send_changes(sidecar_index);
    }

    /// A change has reached a watch.
    pub(super) fn on_watch_notification(&mut self, process: SidecarProcess) {
        let sidecar = &self.sidecars[process.sidecar.index()];
        let is_news = sidecar.endpoints.version() < self.discovery.version();
        if self.is_current(process) && sidecar.watches && self.discovery.is_up() && is_news {
            self.send_changes(process.sidecar);
        }
    }

    /// Gives a sidecar what has changed since its list, which may be nothing.
    fn send_changes(&mut self, sidecar_index: SidecarIndex) {
        let cached = self.sidecars[sidecar_index.index()].endpoints.version();
        let version = self.discovery.version();
        let changes = self.discovery.changes_since(cached);
        self.update_endpoints(sidecar_index, version, &changes);
    }

    /// Discovery goes down or silent, or comes back.
    pub(super) fn on_discovery_fault(&mut self, availability: Availability) {
        let now = self.context.now();
        self.discovery.on_availability_changed(availability, now);
        let noticed_after = match availability {
            Availability::Up => return,
            Availability::Down => WATCH_CLOSE_DELAY,
            Availability::Silent => WATCH_TIMEOUT,
        };
        for sidecar_index in SidecarIndex::all(self.sidecars.len()) {
            let process = self.process(sidecar_index);
            let sidecar = &mut self.sidecars[sidecar_index.index()];
            if std::mem::take(&mut sidecar.watches) {
                let result = PollResult {
                    process,
                    poll: sidecar.polls,
                    lost: true,
                };
                let event = SimulatorEvent::PollResult(result);
                self.context.after(noticed_after, event);
            }
        }
    }
}
