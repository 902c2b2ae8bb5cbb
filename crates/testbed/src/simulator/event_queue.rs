//! The queue of events: a wheel of short slices of time, of which only the present one is kept
//! sorted.
//!
//! A run of a thousand sidecars has hundreds of thousands of timeouts ahead, most of which never
//! matter; one heap of them all took a quarter of the simulator's time in cache misses.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use crate::scenario::Micros;

/// Microseconds of a slice, as a power of two.
const SLOT_BITS: u32 = 11;
/// Slices on the wheel: some 8 s; what lies beyond is kept by its slice.
const WHEEL_SLOTS: u64 = 4_096;

struct QueuedEvent<T> {
    at: Micros,
    /// Counts all pushes: orders events of one moment.
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
    /// The earliest is the greatest; among equals the one that was queued first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Gives back events by time, and within one moment in the order of their push.
pub(super) struct EventQueue<T> {
    /// The present slice.
    current_slot: u64,
    /// Events of the present slice, sorted.
    current: BinaryHeap<QueuedEvent<T>>,
    /// Events of the slices on the wheel, unsorted.
    wheel: Vec<Vec<QueuedEvent<T>>>,
    /// Events beyond the wheel by slice, unsorted.
    overflow: BTreeMap<u64, Vec<QueuedEvent<T>>>,
    sequence: u64,
    count: usize,
}

impl<T> EventQueue<T> {
    /// An empty queue.
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

    /// Adds an event; `at` must not lie before the event that was popped last.
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

    /// Takes the next event with its time; nothing where the queue is empty.
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

/// Where a slice lies on the wheel.
fn wheel_index(slot: u64) -> usize {
    (slot % WHEEL_SLOTS) as usize
}

#[cfg(test)]
mod tests;
