//! The simulator's scheduler: the virtual clock and the queue of scheduled events.

use super::event::SimulatorEvent;
use super::event_queue::EventQueue;
use crate::scenario::Micros;

/// Holds the virtual time, which does not advance while an event is handled and then jumps to the
/// time of the next event.
pub(super) struct Scheduler {
    now: Micros,
    queue: EventQueue<SimulatorEvent>,
}

impl Scheduler {
    /// Creates a scheduler at time 0 without events.
    pub(super) fn new() -> Self {
        Self {
            now: 0,
            queue: EventQueue::new(),
        }
    }

    /// Returns the virtual time in microseconds since the start of the run.
    pub(super) fn now(&self) -> Micros {
        self.now
    }

    /// Schedules an event. A time in the past counts as the present: the event then follows the
    /// events that are already scheduled for now.
    pub(super) fn schedule_at(&mut self, at: Micros, event: SimulatorEvent) {
        self.queue.push(at.max(self.now), event);
    }

    /// Schedules an event after a delay in microseconds.
    pub(super) fn schedule_after(&mut self, delay: Micros, event: SimulatorEvent) {
        self.schedule_at(self.now + delay, event);
    }

    /// Advances the clock to the next event and returns the event. Returns `None` if the queue is
    /// empty, or if the next event is later than `end`; that event is dropped.
    pub(super) fn next_event(&mut self, end: Micros) -> Option<SimulatorEvent> {
        let (at, event) = self.queue.pop().filter(|(at, _)| *at <= end)?;
        self.now = at;
        Some(event)
    }
}
