//! The simulator's virtual time, and what is scheduled on it.

use super::event::SimulatorEvent;
use super::event_queue::EventQueue;
use crate::scenario::Micros;

/// Virtual time: stands still while an event is handled, and jumps to the next.
pub(super) struct Timeline {
    now: Micros,
    queue: EventQueue<SimulatorEvent>,
}

impl Timeline {
    /// A timeline at its start, with nothing scheduled.
    pub(super) fn new() -> Self {
        Self {
            now: 0,
            queue: EventQueue::new(),
        }
    }

    /// Microseconds since the start of the run.
    pub(super) fn now(&self) -> Micros {
        self.now
    }

    /// Schedules an event; one whose time has passed comes now, after what is already due.
    pub(super) fn schedule_at(&mut self, at: Micros, event: SimulatorEvent) {
        self.queue.push(at.max(self.now), event);
    }

    /// Schedules an event after a delay from now.
    pub(super) fn schedule_after(&mut self, delay: Micros, event: SimulatorEvent) {
        self.schedule_at(self.now + delay, event);
    }

    /// Moves on to the next event that comes until `end`; nothing where there is none.
    pub(super) fn next_event(&mut self, end: Micros) -> Option<SimulatorEvent> {
        let (at, event) = self.queue.pop().filter(|(at, _)| *at <= end)?;
        self.now = at;
        Some(event)
    }
}
