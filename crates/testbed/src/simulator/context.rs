//! What every component of the simulator works with: the scenario, virtual time and the event log.
//!
//! Owns the timeline and the way to the log. Holds no state of clients, sidecars or servers.

use super::event::SimulatorEvent;
use super::timeline::Timeline;
use crate::event_log::{EventSink, LogEvent, LogRecord};
use crate::scenario::{Micros, Scenario};

/// The scenario that is simulated, the timeline and the event log.
pub(super) struct Context<'a> {
    scenario: &'a Scenario,
    timeline: Timeline,
    log: &'a mut dyn EventSink,
}

impl<'a> Context<'a> {
    /// The start of a run.
    pub(super) fn new(scenario: &'a Scenario, log: &'a mut dyn EventSink) -> Self {
        Self {
            scenario,
            timeline: Timeline::new(),
            log,
        }
    }

    /// The scenario, which outlives the run.
    pub(super) fn scenario(&self) -> &'a Scenario {
        self.scenario
    }

    /// Microseconds since the start of the run.
    pub(super) fn now(&self) -> Micros {
        self.timeline.now()
    }

    /// Schedules an event; one whose time has passed comes now, after what is already due.
    pub(super) fn at(&mut self, at: Micros, event: SimulatorEvent) {
        self.timeline.at(at, event);
    }

    /// Schedules an event after a span from now.
    pub(super) fn after(&mut self, span: Micros, event: SimulatorEvent) {
        self.timeline.after(span, event);
    }

    /// Moves on to the next event that comes until `end`; nothing where there is none.
    pub(super) fn next_event(&mut self, end: Micros) -> Option<SimulatorEvent> {
        self.timeline.next(end)
    }

    /// Writes to the event log what happens now.
    pub(super) fn record(&mut self, event: LogEvent) {
        let at = self.timeline.now();
        self.log.record(&LogRecord { at, event });
    }
}
