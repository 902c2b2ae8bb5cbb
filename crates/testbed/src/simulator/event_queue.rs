//! The event queue: a timing wheel of short time slots, of which only the current one is sorted.
//!
//! A run of a thousand sidecars has hundreds of thousands of pending timeouts, most of which have
//! no effect; with a single heap, cache misses took a quarter of the simulator's time.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use crate::scenario::Micros;

/// Length of a slot in microseconds, as a power of two.
const SLOT_BITS: u32 = 11;
/// Number of slots in the wheel, about 8 s; later events go to the overflow map.
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
    current: BinaryHeap<QueuedEvent<T>>,
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
            current: BinaryHeap::new(),
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
        let slot = at >> SLOT_BITS;
        match slot.saturating_sub(self.current_slot) {
            0 => self.current.push(queued),
            ahead if ahead < WHEEL_SLOTS => {
                self.wheel[wheel_index(slot)].push(queued);
            }
            _ => self.overflow.entry(slot).or_default().push(queued),
        }
    }

    /// Removes the next event and returns it with its time, or `None` if the queue is empty.
    pub(super) fn pop(&mut self) -> Option<(Micros, T)> {
        while self.current.is_empty() {
            if self.count == 0 {
                return None;
            }
            self.advance_slot();
        }
        self.count -= 1;
        self.current.pop().map(|queued| (queued.at, queued.event))
    }

    fn advance_slot(&mut self) {
        self.current_slot += 1;
        let on_wheel = &mut self.wheel[wheel_index(self.current_slot)];
        let mut events = std::mem::take(on_wheel);
        events.extend(
            self.overflow
                .remove(&self.current_slot)
                .into_iter()
                .flatten(),
        );
        self.current = events.into();
    }
}

/// Index of a slot in the wheel.
fn wheel_index(slot: u64) -> usize {
    (slot % WHEEL_SLOTS) as usize
}

#[cfg(test)]
mod tests;
