//! The counters that sidecars print as they end.
//!
//! Owns their form in a sidecar's log. What they must be is known by `counter_check`.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

/// The line after which a sidecar prints its counters.
const COUNTERS_FOLLOW: &str = "stopped\n";

/// Counts by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::emulator) struct Counters(BTreeMap<String, u64>);

impl Counters {
    /// The counters at the end of a sidecar's log; nothing if it printed none.
    pub(in crate::emulator) fn at_end_of(log: &str) -> Option<Self> {
        let (_, text) = log.rsplit_once(COUNTERS_FOLLOW)?;
        let counter = |line: &str| {
            let (name, value) = line.trim().split_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        Some(Self(text.lines().filter_map(counter).collect()))
    }

    /// A count; 0 if it is not there.
    pub(in crate::emulator) fn get(&self, name: &str) -> u64 {
        self.0.get(name).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, other: &Self) {
        for (name, value) in &other.0 {
            *self.0.entry(name.clone()).or_default() += value;
        }
    }
}

/// What the counters of all sidecars add up to.
#[derive(Default)]
pub(in crate::emulator) struct FleetCounters {
    pub(in crate::emulator) sum: Counters,
    /// Processes that were killed, whose counters are lost.
    pub(in crate::emulator) killed: u32,
    /// Sidecars that printed no counters at their end.
    pub(in crate::emulator) missing: u32,
}
