//! Reads the counters that a sidecar prints at its exit.
//!
//! `counter_check` compares them with the event log.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

/// The line after which a sidecar prints its counters.
const COUNTERS_MARKER: &str = "stopped\n";

/// Counter values by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::emulator) struct Counters(BTreeMap<String, u64>);

impl Counters {
    /// Parses the counters at the end of a sidecar's log; `None` if it printed none.
    pub(in crate::emulator) fn from_log(log: &str) -> Option<Self> {
        let (_, text) = log.rsplit_once(COUNTERS_MARKER)?;
        let counter = |line: &str| {
            let (name, value) = line.trim().split_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        Some(Self(text.lines().filter_map(counter).collect()))
    }

    /// The value of a counter; 0 if it is missing.
    pub(in crate::emulator) fn get(&self, name: &str) -> u64 {
        self.0.get(name).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, other: &Self) {
        for (name, value) in &other.0 {
            *self.0.entry(name.clone()).or_default() += value;
        }
    }
}

/// The sums of the counters of all sidecars.
#[derive(Default)]
pub(in crate::emulator) struct CounterTotals {
    pub(in crate::emulator) sum: Counters,
    /// Number of processes that were killed, and whose counters are lost.
    pub(in crate::emulator) killed: u32,
    /// Number of sidecars that printed no counters at their exit.
    pub(in crate::emulator) missing: u32,
}
