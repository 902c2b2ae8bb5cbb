//! The queue of events: a wheel of short slices of time, of which only the present one is kept
//! sorted.
//!
//! A run of a thousand sidecars has hundreds of thousands of timeouts ahead, most of which never
//! matter; one heap of them all took a quarter of the simulator's time in cache misses.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use crate::scenario::Micros;

/// Microseconds of a slice, as a power of two.
const SLICE_BITS: u32 = 11;
/// Slices on the wheel: some 8 s; what lies beyond is kept by its slice.
const WHEEL_SLICES: u64 = 4_096;

struct Queued<T> {
    at: Micros,
    /// Counts all pushes: orders events of one moment.
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Queued<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Queued<T> {}

impl<T> PartialOrd for Queued<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Queued<T> {
    /// The earliest is the greatest; among equals the one that was queued first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Gives back events by time, and within one moment in the order of their push.
pub(super) struct EventQueue<T> {
    /// The present slice.
    slice: u64,
    /// Events of the present slice, sorted.
    near: BinaryHeap<Queued<T>>,
    /// Events of the slices on the wheel, unsorted.
    wheel: Vec<Vec<Queued<T>>>,
    /// Events beyond the wheel by slice, unsorted.
    far: BTreeMap<u64, Vec<Queued<T>>>,
    sequence: u64,
    count: usize,
}

impl<T> EventQueue<T> {
    /// An empty queue.
    pub(super) fn new() -> Self {
        let wheel = (0..WHEEL_SLICES).map(|_| Vec::new()).collect();
        Self {
            slice: 0,
            near: BinaryHeap::new(),
            wheel,
            far: BTreeMap::new(),
            sequence: 0,
            count: 0,
        }
    }

    /// Adds an event; `at` must not lie before the event that was popped last.
    pub(super) fn push(&mut self, at: Micros, event: T) {
        self.sequence += 1;
        self.count += 1;
        let sequence = self.sequence;
        let queued = Queued {
            at,
            sequence,
            event,
        };
        let slice = at >> SLICE_BITS;
        match slice.saturating_sub(self.slice) {
            0 => self.near.push(queued),
            ahead if ahead < WHEEL_SLICES => {
                self.wheel[wheel_position(slice)].push(queued);
            }
            _ => self.far.entry(slice).or_default().push(queued),
        }
    }

    /// Takes the next event with its time; nothing where the queue is empty.
    pub(super) fn pop(&mut self) -> Option<(Micros, T)> {
        while self.near.is_empty() {
            if self.count == 0 {
                return None;
            }
            self.advance_slice();
        }
        self.count -= 1;
        self.near.pop().map(|queued| (queued.at, queued.event))
    }

    fn advance_slice(&mut self) {
        self.slice += 1;
        let on_wheel = &mut self.wheel[wheel_position(self.slice)];
        let mut events = std::mem::take(on_wheel);
        events.extend(self.far.remove(&self.slice).into_iter().flatten());
        self.near = events.into();
    }
}

/// Where a slice lies on the wheel.
fn wheel_position(slice: u64) -> usize {
    (slice % WHEEL_SLICES) as usize
}

#[cfg(test)]
mod tests;
