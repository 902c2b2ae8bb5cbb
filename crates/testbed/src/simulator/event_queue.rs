//! What is to happen, in order: a wheel of short slices of time, of which only the present one is kept sorted.
//!
//! A day of a thousand sidecars has hundreds of thousands of time-outs ahead, most of which never matter; one
//! heap of them all took a quarter of the model's time in cache misses.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

use crate::scenario::Micros;

/// Microseconds of a slice, as a power of two.
const SLICE: u32 = 11;
/// Slices on the wheel: some 8 s; what lies beyond is kept by its slice.
const WHEEL: u64 = 4_096;

struct Queued<T> {
    at: Micros,
    turn: u64,
    what: T,
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
        (other.at, other.turn).cmp(&(self.at, self.turn))
    }
}

/// Gives back what was put in, by time, and within one moment in the order it was put in.
pub struct Queue<T> {
    slice: u64,
    near: BinaryHeap<Queued<T>>,
    wheel: Vec<Vec<Queued<T>>>,
    far: BTreeMap<u64, Vec<Queued<T>>>,
    turn: u64,
    count: usize,
}

impl<T> Queue<T> {
    pub fn new() -> Self {
        let wheel = (0..WHEEL).map(|_| Vec::new()).collect();
        Self {
            slice: 0,
            near: BinaryHeap::new(),
            wheel,
            far: BTreeMap::new(),
            turn: 0,
            count: 0,
        }
    }

    pub fn push(&mut self, at: Micros, what: T) {
        self.turn += 1;
        self.count += 1;
        let (slice, queued) = (
            at >> SLICE,
            Queued {
                at,
                turn: self.turn,
                what,
            },
        );
        match slice.saturating_sub(self.slice) {
            0 => self.near.push(queued),
            ahead if ahead < WHEEL => self.wheel[(slice % WHEEL) as usize].push(queued),
            _ => self.far.entry(slice).or_default().push(queued),
        }
    }

    pub fn pop(&mut self) -> Option<(Micros, T)> {
        while self.near.is_empty() {
            if self.count == 0 {
                return None;
            }
            self.slice += 1;
            let mut next = std::mem::take(&mut self.wheel[(self.slice % WHEEL) as usize]);
            next.extend(self.far.remove(&self.slice).into_iter().flatten());
            self.near = next.into();
        }
        self.count -= 1;
        self.near.pop().map(|queued| (queued.at, queued.what))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Whatever is put in while time goes on comes out as from one sorted list.
        #[test]
        fn comes_out_by_time_and_turn(spans in prop::collection::vec((0u64..40_000_000, any::<bool>()), 1..200)) {
            let (mut queue, mut list, mut now) = (Queue::new(), Vec::new(), 0);
            for (turn, (span, pop)) in spans.into_iter().enumerate() {
                queue.push(now + span, turn);
                list.push((now + span, turn));
                if pop {
                    list.sort_unstable();
                    let first = list.remove(0);
                    prop_assert_eq!(queue.pop(), Some(first));
                    now = first.0;
                }
            }
            list.sort_unstable();
            for first in list {
                prop_assert_eq!(queue.pop(), Some(first));
            }
            prop_assert!(queue.pop().is_none());
        }
    }
}
