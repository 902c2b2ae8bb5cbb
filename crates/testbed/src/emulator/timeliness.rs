//! Whether the machine kept up with the run: how long after its time each thing was done.
//!
//! Owns the measured delays and the limit between late and on time. The figures themselves are not
//! touched: a late run is reported as unreliable and fails.

#[cfg(test)]
mod tests;

use std::sync::Mutex;

use hdrhistogram::Histogram;

use super::lock::lock;
use crate::conversion::{f64_from_u64, ms_from_micros};
use crate::scenario::Micros;

/// An arrival that began this long after its time, or a timer that fired so late, was played late;
/// in microseconds. Half of what the auditor allows the emulator on each time limit by default.
const LATE: Micros = 25_000;
/// Share of them that makes the figures unreliable.
const LATE_SHARE: f64 = 0.01;
/// Longest delay that is measured, in microseconds: ten minutes, beyond the length of any run.
const MAX_MEASURED_DELAY: Micros = 600_000_000;
/// Significant digits of a delay.
const DELAY_DIGITS: u8 = 3;

/// The delays so far.
pub(super) struct Timeliness {
    delays: Mutex<Histogram<u64>>,
}

impl Default for Timeliness {
    fn default() -> Self {
        let delays = Histogram::new_with_bounds(1, MAX_MEASURED_DELAY, DELAY_DIGITS)
            .unwrap_or_else(|_| unreachable!("fixed bounds that hdrhistogram accepts"));
        Self {
            delays: Mutex::new(delays),
        }
    }
}

impl Timeliness {
    /// Records that something due at `due` was done at `done`.
    pub(super) fn on_done(&self, due: Micros, done: Micros) {
        let delay = done.saturating_sub(due);
        lock(&self.delays).saturating_record(delay.max(1));
    }

    /// Why the figures are unreliable; nothing where the machine kept up.
    pub(super) fn unreliable(&self) -> Option<String> {
        let delays = lock(&self.delays);
        let late = delays.count_between(LATE, delays.high());
        (f64_from_u64(late) > LATE_SHARE * f64_from_u64(delays.len())).then(|| {
            let worst = ms_from_micros(delays.value_at_quantile(1.0 - LATE_SHARE));
            format!("the machine ran late: 1 % of what was due was done {worst:.0} ms late or more")
        })
    }
}
