//! The simulator's discovery service, whose endpoint list sidecars poll and watch.
//!
//! Updates the list (`endpoint_list`) with the changes of servers that it detects, serves polls one
//! at a time, and notifies the sidecars that watch. `sidecars` keeps each sidecar's copy of the
//! list and the poll that it waits for.

mod endpoint_list;

use super::context::Context;
use super::event::{EndpointPoll, PollResult, SimulatorEvent};
use super::process::SidecarProcess;
use crate::conversion::micros_from_f64;
use crate::index::ServerIndex;
use crate::random::{RandomStream, StreamId};
use crate::scenario::{self, Micros, Scenario, from_ms};

use endpoint_list::EndpointList;

pub(super) use endpoint_list::ListedEndpoint;

/// Timeout of a poll without a response, in microseconds.
const POLL_TIMEOUT: Micros = 5_000_000;
/// Delay until a sidecar learns that its poll was refused, in microseconds.
const REFUSAL_DELAY: Micros = 2_000;
/// Delay until a sidecar gives up a silent watch, in microseconds.
const WATCH_TIMEOUT: Micros = 3_000_000;
/// Delay until a sidecar detects that discovery has closed its watch, in microseconds.
const WATCH_CLOSE_DELAY: Micros = 1_000;
/// Microseconds per second; the capacity is a number of polls per second.
const MICROS_PER_S: f64 = 1e6;

/// Availability of the discovery service.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Availability {
    Up,
    /// Refuses polls and closes watches.
    Down,
    /// Sends nothing and keeps connections open.
    Silent,
}

/// The discovery service.
pub(super) struct Discovery {
    list: EndpointList,
    availability: Availability,
    /// When all queued polls will have been served.
    busy_until: Micros,
    /// Random stream of the delays until changes reach the watching sidecars.
    random: RandomStream,
}

impl Discovery {
    /// Creates a discovery service that lists the initial servers with the start times of their
    /// processes.
    pub(super) fn new(
        scenario: &Scenario,
        servers: impl Iterator<Item = (ServerIndex, Micros)>,
    ) -> Self {
        Self {
            list: EndpointList::new(servers),
            availability: Availability::Up,
            busy_until: 0,
            random: RandomStream::new(scenario.seed, StreamId::Discovery, 0),
        }
    }

    /// Returns the listed servers that are not gone, ordered by index.
    pub(super) fn current_endpoints(&self) -> impl Iterator<Item = ListedEndpoint> {
        self.list.current()
    }

    /// Returns the entries that changed after a revision of the list, ordered by server index.
    pub(super) fn changes_since(&self, revision: u64) -> Vec<ListedEndpoint> {
        self.list.changes_since(revision)
    }

    /// Returns the list's revision.
    pub(super) fn revision(&self) -> u64 {
        self.list.revision()
    }

    /// Whether the service answers polls and notifies watches.
    pub(super) fn is_up(&self) -> bool {
        self.availability == Availability::Up
    }

    /// Lists a change of a server's status, and notifies the watching processes. The change is
    /// ignored if it concerns an earlier process than the current one, which started at
    /// `started_at`: a removal that is detected after a restart is obsolete.
    pub(super) fn on_list_change(
        &mut self,
        endpoint: ListedEndpoint,
        started_at: Micros,
        watching: impl Iterator<Item = SidecarProcess>,
        context: &mut Context<'_>,
    ) {
        if started_at > endpoint.incarnation {
            return;
        }
        self.list.update(endpoint);
        if self.is_up() {
            self.notify_watches(watching, context);
        }
    }

    fn notify_watches(
        &mut self,
        watching: impl Iterator<Item = SidecarProcess>,
        context: &mut Context<'_>,
    ) {
        let spread_ms = context.scenario().discovery.spread_ms;
        for process in watching {
            let delay = from_ms(spread_ms * self.random.uniform());
            context.schedule_after(delay, SimulatorEvent::WatchNotification(process));
        }
    }

    /// Handles a sidecar's poll: schedules its answer, or the time at which the sidecar detects
    /// that it failed.
    pub(super) fn on_poll(&mut self, poll: EndpointPoll, context: &mut Context<'_>) {
        let now = context.now();
        let (at, failed) = match self.availability {
            Availability::Silent => (now + POLL_TIMEOUT, true),
            Availability::Down => (now + REFUSAL_DELAY, true),
            Availability::Up => self.queue_poll(now, &context.scenario().discovery),
        };
        context.schedule_at(at, SimulatorEvent::PollResult(PollResult { poll, failed }));
    }

    /// Queues a poll behind the others. Returns when it ends, and whether it fails because the wait
    /// would exceed the timeout.
    fn queue_poll(&mut self, now: Micros, settings: &scenario::Discovery) -> (Micros, bool) {
        let start = self.busy_until.max(now);
        let timeout = from_ms(settings.timeout_ms);
        if start > now + timeout {
            return (now + timeout, true);
        }
        self.busy_until = start + micros_from_f64(MICROS_PER_S / settings.capacity);
        (self.busy_until, false)
    }

    /// Changes the availability. Returns the delay in microseconds after which sidecars detect that
    /// their watches have ended, or `None` if the watches stay open.
    pub(super) fn on_availability_changed(
        &mut self,
        availability: Availability,
        now: Micros,
    ) -> Option<Micros> {
        self.availability = availability;
        self.busy_until = now;
        match availability {
            Availability::Up => None,
            Availability::Down => Some(WATCH_CLOSE_DELAY),
            Availability::Silent => Some(WATCH_TIMEOUT),
        }
    }
}

#[cfg(test)]
mod tests;
