//! The event queue: a timing wheel of short time slots. Only the events of the current slot are
//! kept in order.
//!
//! A run of a thousand sidecars has hundreds of thousands of pending timeouts, most of which have
//! no effect. A single heap of that size costs a quarter of the simulator's time in cache misses.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use crate::scenario::Micros;

/// Binary logarithm of a slot's length in microseconds: a slot covers 2^11 us, about 2 ms.
const SLOT_LENGTH_LOG2: u32 = 11;
/// Number of slots in the wheel, which together cover about 8 s. Events that are due after that
/// go to the overflow map.
const WHEEL_SLOTS: u64 = 4_096;

struct QueuedEvent<T> {
    at: Micros,
    /// Number of pushes so far, which orders events with equal times.
    sequence: u64,
    event: T,
}

impl<T> PartialEq for QueuedEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for QueuedEvent<T> {}

impl<T> PartialOrd for QueuedEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for QueuedEvent<T> {
    /// Reverses the order for the max-heap: the earliest event is the greatest, and among events
    /// with equal times the one that was pushed first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A priority queue that yields events by time, and in push order at equal times.
pub(super) struct EventQueue<T> {
    /// Number of the current slot, counted from time 0.
    current_slot: u64,
    /// Events of the current slot, as a heap.
    current_events: BinaryHeap<QueuedEvent<T>>,
    /// Unsorted events of the slots that the wheel covers.
    wheel: Vec<Vec<QueuedEvent<T>>>,
    /// Unsorted events beyond the wheel, by slot number.
    overflow: BTreeMap<u64, Vec<QueuedEvent<T>>>,
    sequence: u64,
    count: usize,
}

impl<T> EventQueue<T> {
    pub(super) fn new() -> Self {
        let wheel = (0..WHEEL_SLOTS).map(|_| Vec::new()).collect();
        Self {
            current_slot: 0,
            current_events: BinaryHeap::new(),
            wheel,
            overflow: BTreeMap::new(),
            sequence: 0,
            count: 0,
        }
    }

    /// Adds an event; `at` must not be earlier than the time of the last popped event.
    pub(super) fn push(&mut self, at: Micros, event: T) {
        self.sequence += 1;
        self.count += 1;
        let sequence = self.sequence;
        let queued = QueuedEvent {
            at,
            sequence,
            event,
        };
        let slot = at >> SLOT_LENGTH_LOG2;
        match slot.saturating_sub(self.current_slot) {
            0 => self.current_events.push(queued),
            ahead if ahead < WHEEL_SLOTS => {
                self.wheel[wheel_index(slot)].push(queued);
            }
            _ => self.overflow.entry(slot).or_default().push(queued),
        }
    }

    /// Removes the next event and returns it with its time, or `None` if the queue is empty.
    pub(super) fn pop(&mut self) -> Option<(Micros, T)> {
        while self.current_events.is_empty() {
            if self.count == 0 {
                return None;
            }
            self.advance_slot();
        }
        self.count -= 1;
        self.current_events
            .pop()
            .map(|queued| (queued.at, queued.event))
    }

    fn advance_slot(&mut self) {
        self.current_slot += 1;
        let slot_events = &mut self.wheel[wheel_index(self.current_slot)];
        let mut events = std::mem::take(slot_events);
        events.extend(
            self.overflow
                .remove(&self.current_slot)
                .into_iter()
                .flatten(),
        );
        self.current_events = events.into();
    }
}

/// Index of a slot in the wheel.
fn wheel_index(slot: u64) -> usize {
    (slot % WHEEL_SLOTS) as usize
}

#[cfg(test)]
mod tests;
