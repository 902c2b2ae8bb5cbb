//! The context that the simulator passes to each of its components: the scenario, the scheduler and
//! the event log.
//!
//! It holds no state of clients, sidecars or servers.

use super::event::SimulatorEvent;
use super::scheduler::Scheduler;
use crate::event_log::{EventSink, LogEvent, LogRecord};
use crate::scenario::{Micros, Scenario};

/// The context of a run. Through it, a component reads the scenario and the virtual time, schedules
/// events and writes to the event log.
pub(super) struct Context<'a> {
    scenario: &'a Scenario,
    scheduler: Scheduler,
    log: &'a mut dyn EventSink,
}

impl<'a> Context<'a> {
    /// Creates the context of a run that starts at time 0.
    pub(super) fn new(scenario: &'a Scenario, log: &'a mut dyn EventSink) -> Self {
        Self {
            scenario,
            scheduler: Scheduler::new(),
            log,
        }
    }

    /// Returns the scenario, which outlives the run.
    pub(super) fn scenario(&self) -> &'a Scenario {
        self.scenario
    }

    /// Returns the virtual time in microseconds since the start of the run.
    pub(super) fn now(&self) -> Micros {
        self.scheduler.now()
    }

    /// Schedules an event. A time in the past counts as the present: the event then follows the
    /// events that are already scheduled for now.
    pub(super) fn schedule_at(&mut self, at: Micros, event: SimulatorEvent) {
        self.scheduler.schedule_at(at, event);
    }

    /// Schedules an event after a delay in microseconds.
    pub(super) fn schedule_after(&mut self, delay: Micros, event: SimulatorEvent) {
        self.scheduler.schedule_after(delay, event);
    }

    /// Advances the clock to the next event and returns the event. Returns `None` if the queue is
    /// empty, or if the next event is later than `end`; that event is dropped.
    pub(super) fn next_event(&mut self, end: Micros) -> Option<SimulatorEvent> {
        self.scheduler.next_event(end)
    }

    /// Writes an event to the event log with the current virtual time.
    pub(super) fn record(&mut self, event: LogEvent) {
        let at = self.scheduler.now();
        self.log.record(&LogRecord { at, event });
    }
}
