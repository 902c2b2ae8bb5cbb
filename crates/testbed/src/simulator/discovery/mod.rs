//! The simulator's discovery: it learns late of what happens to servers, and sidecars poll and
//! watch its list.
//!
//! Owns the list (`endpoint_list`), whether it answers, and the polls that wait. What a sidecar
//! knows of the list, and which poll it still waits for, is `sidecars`'.

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

/// A poll without a response is given up after this, in microseconds.
const POLL_TIMEOUT: Micros = 5_000_000;
/// A refused poll is back after this, in microseconds.
const REFUSAL_DELAY: Micros = 2_000;
/// A watch that says nothing is given up after this, in microseconds.
const WATCH_TIMEOUT: Micros = 3_000_000;
/// The end of a watch that discovery closes is noticed after this, in microseconds.
const WATCH_CLOSE_DELAY: Micros = 1_000;
/// Microseconds of a second, in which polls are counted against the capacity.
const MICROS_PER_S: f64 = 1e6;

/// Whether discovery answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Availability {
    Up,
    /// It refuses polls and ends watches.
    Down,
    /// It says nothing and keeps connections open.
    Silent,
}

/// The service that lists servers.
pub(super) struct Discovery {
    list: EndpointList,
    availability: Availability,
    /// When the polls that wait will have been served.
    busy_until: Micros,
    /// Draws how long a change takes to reach each watch.
    random: RandomStream,
}

impl Discovery {
    /// Discovery that lists the servers which were there before the run, with the starts of their
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

    /// The servers that are listed and not gone, in the order of their numbers.
    pub(super) fn present_endpoints(&self) -> impl Iterator<Item = ListedEndpoint> {
        self.list.present()
    }

    /// What the list says anew since a version, in the order of the servers' numbers.
    pub(super) fn changes_since(&self, version: u64) -> Vec<ListedEndpoint> {
        self.list.changes_since(version)
    }

    /// The list's version.
    pub(super) fn version(&self) -> u64 {
        self.list.version()
    }

    /// Whether polls are answered and watches learn of changes.
    pub(super) fn is_up(&self) -> bool {
        self.availability == Availability::Up
    }

    /// A change of a server that started last at `started_at` is noticed, and those who watch the
    /// list learn of it. It says nothing new where the server has started since: a death that is
    /// noticed after the return is none, and what came back is not listed as it was before.
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
            context.after(delay, SimulatorEvent::WatchNotification(process));
        }
    }

    /// A sidecar polls: schedules when it has the answer, or notices that there is none.
    pub(super) fn on_poll(&mut self, poll: EndpointPoll, context: &mut Context<'_>) {
        let now = context.now();
        let (at, lost) = match self.availability {
            Availability::Silent => (now + POLL_TIMEOUT, true),
            Availability::Down => (now + REFUSAL_DELAY, true),
            Availability::Up => self.queue_poll(now, &context.scenario().discovery),
        };
        context.at(at, SimulatorEvent::PollResult(PollResult { poll, lost }));
    }

    /// When a poll that queues behind the others is served, or given up; true where it is given up.
    fn queue_poll(&mut self, now: Micros, settings: &scenario::Discovery) -> (Micros, bool) {
        let start = self.busy_until.max(now);
        let timeout = from_ms(settings.timeout_ms);
        if start > now + timeout {
            return (now + timeout, true);
        }
        self.busy_until = start + micros_from_f64(MICROS_PER_S / settings.capacity);
        (self.busy_until, false)
    }

    /// Discovery goes down or silent, or comes back. Gives back after which time sidecars notice that
    /// their watches have ended, in microseconds; nothing where these go on.
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
